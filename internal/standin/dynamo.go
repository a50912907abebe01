package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// This file implements the subset of the DynamoDB JSON protocol that the system uses: GetItem, Query by
// group, and TransactWriteItems with conditional Put.

type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *string `json:"B,omitempty"`
}

type dynamoItem map[string]attribute

type dynamoPut struct {
	Item                      dynamoItem           `json:"Item"`
	ConditionExpression       string               `json:"ConditionExpression"`
	ExpressionAttributeValues map[string]attribute `json:"ExpressionAttributeValues"`
}

type dynamoRequest struct {
	Key                       dynamoItem           `json:"Key"`
	ExpressionAttributeValues map[string]attribute `json:"ExpressionAttributeValues"`
	TransactItems             []struct {
		Put *dynamoPut `json:"Put"`
	} `json:"TransactItems"`
}

const dynamoTarget = "DynamoDB_20120810."

func (p *Platform) dynamo(w http.ResponseWriter, r *http.Request) {
	op := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), dynamoTarget)
	if !p.applyFaults(w, "table_"+strings.ToLower(op)) {
		return
	}
	var in dynamoRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		dynamoError(w, "SerializationException", err.Error())
		return
	}
	switch op {
	case "GetItem":
		p.getItem(w, in)
	case "Query":
		p.query(w, in)
	case "TransactWriteItems":
		p.transact(w, in)
	default:
		dynamoError(w, "UnknownOperationException", op+" is not in the used subset")
	}
}

func dynamoError(w http.ResponseWriter, code, message string) {
	writeDynamo(w, http.StatusBadRequest, map[string]any{"__type": "com.amazonaws.dynamodb.v20120810#" + code, "message": message})
}

func writeDynamo(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (i dynamoItem) text(name string) string {
	if a := i[name]; a.S != nil {
		return *a.S
	}
	return ""
}

func (p *Platform) getItem(w http.ResponseWriter, in dynamoRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]any{}
	if item, ok := p.items[in.Key.text("grp")][in.Key.text("nam")]; ok {
		out["Item"] = item
	}
	writeDynamo(w, http.StatusOK, out)
}

func (p *Platform) query(w http.ResponseWriter, in dynamoRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := []dynamoItem{}
	if g := in.ExpressionAttributeValues[":g"].S; g != nil {
		for _, item := range p.items[*g] {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b dynamoItem) int { return strings.Compare(a.text("nam"), b.text("nam")) })
	writeDynamo(w, http.StatusOK, map[string]any{"Items": items, "Count": len(items), "ScannedCount": len(items)})
}

func (p *Platform) transact(w http.ResponseWriter, in dynamoRequest) {
	if reasons, ok := p.apply(in); !ok {
		writeDynamo(w, http.StatusBadRequest, map[string]any{
			"__type":              "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
			"message":             "Transaction cancelled",
			"CancellationReasons": reasons,
		})
		return
	}
	if !p.loseReply(w, func(f *platformFaults) *int { return &f.LoseReplies }) {
		writeDynamo(w, http.StatusOK, map[string]any{})
	}
}

// cancellationReason is the result of one operation of a cancelled transaction.
type cancellationReason struct {
	Code string `json:"Code"`
}

// apply executes a transaction if all of its conditions hold. Otherwise it changes nothing and returns the
// result of each condition.
func (p *Platform) apply(in dynamoRequest) ([]cancellationReason, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reasons := make([]cancellationReason, len(in.TransactItems))
	ok := true
	for i, t := range in.TransactItems {
		reasons[i].Code = "None"
		if t.Put == nil || !p.conditionHolds(t.Put) {
			reasons[i].Code = "ConditionalCheckFailed"
			ok = false
		}
	}
	if !ok {
		return reasons, false
	}
	for _, t := range in.TransactItems {
		group := t.Put.Item.text("grp")
		if p.items[group] == nil {
			p.items[group] = map[string]dynamoItem{}
		}
		p.items[group][t.Put.Item.text("nam")] = t.Put.Item
	}
	return reasons, true
}

// conditionHolds evaluates the only two forms of condition that the system uses: the row does not exist,
// or it has the given revision and, if one is given, the given value. The caller holds p.mu.
func (p *Platform) conditionHolds(put *dynamoPut) bool {
	old, exists := p.items[put.Item.text("grp")][put.Item.text("nam")]
	if strings.HasPrefix(put.ConditionExpression, "attribute_not_exists(") {
		return !exists
	}
	want := put.ExpressionAttributeValues[":r"].N
	have := old["rev"].N
	if !exists || want == nil || have == nil || *want != *have {
		return false
	}
	wantValue := put.ExpressionAttributeValues[":v"].B
	return wantValue == nil || old["val"].B != nil && *wantValue == *old["val"].B
}
