package main

// The operator's configuration and the workers' rows, in the form of the pages.

type wireRoute struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	PathPrefix    string `json:"fieldPrefix"`
	RouteType     string `json:"fieldKind"`
	TimeoutMS     int    `json:"timeout_ms"`
	TargetLatency int    `json:"fieldObjective"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"fieldAttempts"`
	Public        bool   `json:"public"`
	Sticky        bool   `json:"sticky,omitempty"`
	Resumable     bool   `json:"resumable,omitempty"`
	GapAimMS      int    `json:"fieldPause,omitempty"`
}

type wireService struct {
	Name           string      `json:"name"`
	HealthPath     string      `json:"health_path"`
	MaxConnections int         `json:"max_connections"`
	Protocol       string      `json:"protocol"`
	TLS            bool        `json:"tls"`
	Engine         *wireEngine `json:"engine,omitempty"`
}

type wireEngine struct {
	Slots            int     `json:"slots"`
	KVCapacityTokens int     `json:"fieldCapacity"`
	KVTokenBytes     int     `json:"fieldTokenBytes"`
	LinkMbps         float64 `json:"link_mbps"`
	Moves            bool    `json:"moves"`
	Stride           int     `json:"stride"`
}

type wireLimits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

type wireTenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"fieldKeys"`
	Priority int      `json:"priority"`
}

type wireConfig struct {
	Version  int           `json:"version"`
	Routes   []wireRoute   `json:"routes"`
	Services []wireService `json:"services"`
	Limits   wireLimits    `json:"limits"`
	Tenants  []wireTenant  `json:"tenants"`
}

// usualLimits are the limits of the pages' example.
var usualLimits = wireLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}

const (
	host   = "ficu95.example"
	tenant = "huka270"
	key    = "xd9dnn2ctnfzs989anu6"
)

var usualTenants = []wireTenant{{Name: tenant, APIKeys: []string{key}, Priority: 1}}

// wireBeat is the row of a worker.
type wireBeat struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMS int    `json:"fieldCold"`
	Sequence        int    `json:"sequence"`
}
