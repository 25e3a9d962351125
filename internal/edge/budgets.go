package edge

import (
	"context"

	"github.com/banyanglade/banyanglade/internal/serve"
)

type noBudgets struct{}
type noLease struct{}

func (noLease) Settle(int) {}
func (noBudgets) Reserve(context.Context, serve.Turn) (serve.Lease, error) { return noLease{}, nil }
func newBudgets() serve.Budgets { return noBudgets{} }
