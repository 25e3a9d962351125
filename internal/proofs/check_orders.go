package proofs

// checkOrders finds engines that applied an order after one with a higher fencing
// number.
func checkOrders(e Evidence, _ *runIndex) []Violation {
	var found []Violation
	for target, orders := range e.Orders {
		newest := uint64(0)
		for _, order := range orders {
			if order.Fencing < newest {
				found = append(found, violation(PropertyOrders, "%s applied %s %s of epoch %d after epoch %d",
					target, order.Kind, order.Value, order.Fencing, newest))
			}
			newest = max(newest, order.Fencing)
		}
	}
	return found
}
