package tgadmin

import (
	"time"

	"github.com/google/uuid"
)

// Status is the response to GET /v1/status.
type Status struct {
	Applied     uint64    `json:"applied"` // offset that follows the last applied configuration record
	DataCentre  string    `json:"dataCentre"`
	Incarnation uuid.UUID `json:"incarnation"`
	Name        string    `json:"name"`
	NotReady    string    `json:"notReady,omitempty"` // reason; empty when Ready
	Ready       bool      `json:"ready"`
	Role        string    `json:"role"`
	Started     time.Time `json:"started"`
	Version     string    `json:"version"`
}
