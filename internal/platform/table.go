// Package platform holds the clients of the platform's services: the table service (DynamoDB API),
// the object store (S3 API) and the list of VMs (HTTP and JSON). It also defines the Store that the
// entries follow, which a deployment implements. Each client is a struct of functions, which tests
// replace with fakes.
package platform

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// ErrConflict is returned when a row does not have the expected revision or value. Nothing was written.
var ErrConflict = errors.New("row is at another revision")

// ErrNotFound is returned when a row or object does not exist.
var ErrNotFound = errors.New("not found")

// ErrUnknownOutcome is returned when a call failed and may or may not have taken effect.
var ErrUnknownOutcome = errors.New("platform call failed, outcome unknown")

// Key identifies a row; the rows of a group can be listed.
type Key struct {
	Group string
	Name  string
}

// Row is a stored value with its revision. A row that does not exist has revision 0.
type Row struct {
	Key      Key
	Revision int64
	Value    []byte
}

// Write is a conditional write. Row.Revision is the revision after the write, so the stored row must
// have the revision before it. If Expected is set, the stored row must also have that value, as a table
// that was restored from a backup assigns revisions again.
type Write struct {
	Row      Row
	Expected []byte
}

// Table is a client of the transactional table service.
type Table struct {
	// Get returns a row or ErrNotFound.
	Get func(ctx context.Context, k Key) (Row, error)
	// List returns the rows of a group, ordered by name.
	List func(ctx context.Context, group string) ([]Row, error)
	// Commit applies all writes or none. On ErrConflict it has applied none.
	Commit func(ctx context.Context, writes ...Write) error
}

const (
	attrGroup    = "grp"
	attrName     = "nam"
	attrRevision = "rev"
	attrValue    = "val"
	callTimeout  = 2 * time.Second
	// callAttempts is 1 because a retry would hide a lost reply: the retried write conflicts with
	// the first one that succeeded. Callers read the row again instead.
	callAttempts = 1
	region       = "local"
)

// Credentials sign the calls to the table service and the object store.
type Credentials struct {
	Key    string
	Secret string
}

// NewTable returns a client of the named table at a DynamoDB endpoint.
func NewTable(endpoint, name string, creds Credentials) *Table {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint:     aws.String(endpoint),
		Region:           region,
		Credentials:      credentials.NewStaticCredentialsProvider(creds.Key, creds.Secret, ""),
		RetryMaxAttempts: callAttempts,
		HTTPClient:       newHTTPClient(maxBodyBytes),
	})
	d := &dynamo{client: client, table: name}
	return &Table{Get: d.get, List: d.list, Commit: d.commit}
}

type dynamo struct {
	client *dynamodb.Client
	table  string
}

func (d *dynamo) get(ctx context.Context, k Key) (Row, error) {
	out, err := d.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(d.table),
		Key:            keyItem(k),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, fmt.Errorf("%w: get %s/%s: %v", ErrUnknownOutcome, k.Group, k.Name, err)
	}
	if len(out.Item) == 0 {
		return Row{}, fmt.Errorf("%w: row %s/%s", ErrNotFound, k.Group, k.Name)
	}
	return decodeRow(out.Item)
}

func (d *dynamo) list(ctx context.Context, group string) ([]Row, error) {
	pages := dynamodb.NewQueryPaginator(d.client, &dynamodb.QueryInput{
		TableName:                 aws.String(d.table),
		KeyConditionExpression:    aws.String(attrGroup + " = :g"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":g": &types.AttributeValueMemberS{Value: group}},
		ConsistentRead:            aws.Bool(true),
	})
	var rows []Row
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, fmt.Errorf("%w: list %s: %v", ErrUnknownOutcome, group, err)
		}
		for _, item := range page.Items {
			r, err := decodeRow(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (d *dynamo) commit(ctx context.Context, writes ...Write) error {
	in := &dynamodb.TransactWriteItemsInput{}
	for _, w := range writes {
		in.TransactItems = append(in.TransactItems, types.TransactWriteItem{Put: d.put(w)})
	}
	_, err := d.client.TransactWriteItems(ctx, in)
	var cancelled *types.TransactionCanceledException
	switch {
	case err == nil:
		return nil
	case errors.As(err, &cancelled):
		return fmt.Errorf("%w: %s/%s", ErrConflict, writes[0].Row.Key.Group, writes[0].Row.Key.Name)
	default:
		return fmt.Errorf("%w: commit: %v", ErrUnknownOutcome, err)
	}
}

func (d *dynamo) put(w Write) *types.Put {
	r := w.Row
	item := keyItem(r.Key)
	item[attrRevision] = numberValue(r.Revision)
	item[attrValue] = &types.AttributeValueMemberB{Value: r.Value}
	p := &types.Put{TableName: aws.String(d.table), Item: item}
	if r.Revision == 1 {
		p.ConditionExpression = aws.String("attribute_not_exists(" + attrGroup + ")")
		return p
	}
	p.ConditionExpression = aws.String(attrRevision + " = :r")
	p.ExpressionAttributeValues = map[string]types.AttributeValue{":r": numberValue(r.Revision - 1)}
	if w.Expected != nil {
		p.ConditionExpression = aws.String(attrRevision + " = :r AND " + attrValue + " = :v")
		p.ExpressionAttributeValues[":v"] = &types.AttributeValueMemberB{Value: w.Expected}
	}
	return p
}

func keyItem(k Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrGroup: &types.AttributeValueMemberS{Value: k.Group},
		attrName:  &types.AttributeValueMemberS{Value: k.Name},
	}
}

func numberValue(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

// errBadRow is wrapped when a stored row does not have the attributes that this package writes.
var errBadRow = errors.New("malformed row")

func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	group, ok1 := item[attrGroup].(*types.AttributeValueMemberS)
	name, ok2 := item[attrName].(*types.AttributeValueMemberS)
	revision, ok3 := item[attrRevision].(*types.AttributeValueMemberN)
	value, ok4 := item[attrValue].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return Row{}, errBadRow
	}
	n, err := strconv.ParseInt(revision.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("%w: revision %q", errBadRow, revision.Value)
	}
	return Row{Key: Key{Group: group.Value, Name: name.Value}, Revision: n, Value: value.Value}, nil
}
