package peer

import (
	"reflect"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// numKinds is the number of possible message kinds.
const numKinds = 256

// setNonZero sets every field of a value to a nonzero value.
func setNonZero(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setNonZero(v.Elem())
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Date(2026, 3, 4, 5, 6, 7, 89_000, time.UTC)))
			return
		}
		for i := range v.NumField() {
			setNonZero(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		setNonZero(v.Index(0))
		setNonZero(v.Index(1))
	case reflect.Array:
		for i := range v.Len() {
			setNonZero(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setNonZero(key)
		setNonZero(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		v.SetUint(200)
	default:
		v.SetInt(-300)
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for kind := range numKinds {
		msg := structs.NewMessage(structs.MessageKind(kind))
		if msg == nil {
			continue
		}
		for _, filled := range []bool{false, true} {
			if filled {
				setNonZero(reflect.ValueOf(msg).Elem())
			}
			got, err := DecodeFrame(mustEncode(t, msg))
			if err != nil {
				t.Fatalf("%T: %v", msg, err)
			}
			if !reflect.DeepEqual(got, msg) {
				t.Errorf("got %+v, wanted %+v", got, msg)
			}
		}
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for kind := range numKinds {
		msg := structs.NewMessage(structs.MessageKind(kind))
		if msg == nil {
			continue
		}
		setNonZero(reflect.ValueOf(msg).Elem())
		frame, err := EncodeFrame(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	header := []byte{structs.ProtocolVersion, byte(structs.KindSubmit)}
	f.Add([]byte{})
	f.Add(append(header, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff))
	f.Add(append(header, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff))
	f.Fuzz(func(t *testing.T, frame []byte) {
		msg, err := DecodeFrame(frame)
		if err != nil {
			return
		}
		if _, err := EncodeFrame(msg); err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
	})
}

// A peer of an earlier build would end the connection at a message that it does not know.
func TestMessagesUnknownToThePeerAreNotSent(t *testing.T) {
	earlier, current := identity{ID: "a"}, identity{ID: "a", LastKind: structs.LastKind()}
	for kind, want := range map[structs.MessageKind][2]bool{
		structs.KindVoteReply:  {true, true},
		structs.KindStreamPins: {false, true},
		structs.LastKind():     {false, true},
		kindPing:               {true, true},
	} {
		if got := [2]bool{earlier.decodes(kind), current.decodes(kind)}; got != want {
			t.Errorf("kind %d: earlier and current build decode %v, want %v", kind, got, want)
		}
	}
}
