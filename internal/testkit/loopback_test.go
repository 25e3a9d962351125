package testkit

import "testing"

func TestFreeAddressesAreDifferent(t *testing.T) {
	const count = 400
	addresses, err := FreeAddresses(LoopbackHost(), count)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, address := range addresses {
		if seen[address] {
			t.Errorf("FreeAddresses returned %s twice", address)
		}
		seen[address] = true
	}
}
