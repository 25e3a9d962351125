package peer

import (
	"reflect"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func BenchmarkFrame(b *testing.B) {
	msg := new(structs.PermitRequest)
	setNonZero(reflect.ValueOf(msg).Elem())
	b.ReportAllocs()
	var size int
	for b.Loop() {
		frame, err := EncodeFrame(msg)
		if err != nil {
			b.Fatal(err)
		}
		size = len(frame)
		if _, err := DecodeFrame(frame); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes/frame")
}
