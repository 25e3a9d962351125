package structs

import "time"

// Kinds of the messages about stored conversations.
const (
	KindConversationRequest MessageKind = 34
	KindConversationReply   MessageKind = 35
	KindTurnsNotice         MessageKind = 36
	KindStoreTurnsRequest   MessageKind = 37
	KindStoreTurnsReply     MessageKind = 38
)

// StoredTurn is one turn of a conversation. It is immutable.
type StoredTurn struct {
	// ID is the id of the request that ran the turn. Previous is the id of the turn
	// before it, empty at the start of a conversation.
	ID       string
	Previous string
	Input    []byte
	// Output is what the turn adds to the conversation after its input: the data of
	// each event, followed by a line feed.
	Output []byte
	// Ended is the end of the turn in Unix milliseconds, by the clock of the instance
	// that ran it.
	Ended int64
	// Retention is how long after its end the turn can be continued.
	Retention time.Duration
}

// ConversationOutcome is the result of a ConversationRequest.
type ConversationOutcome uint8

// Outcomes of a ConversationRequest.
const (
	// ConversationFound: the reply holds the turn and all turns before it.
	ConversationFound ConversationOutcome = 1
	// ConversationUnknown: the partition was read to its end after the request arrived
	// and does not hold the turn.
	ConversationUnknown ConversationOutcome = 2
	// ConversationUnreadable: the partition could not be read.
	ConversationUnreadable ConversationOutcome = 3
)

// ConversationRequest requests a turn of a partition and all turns before it.
type ConversationRequest struct {
	Number    uint64
	Partition int
	Turn      string
}

// ConversationReply replies to a ConversationRequest.
type ConversationReply struct {
	Number  uint64
	Outcome ConversationOutcome
	// Turns are ordered from oldest to newest.
	Turns []StoredTurn
	// Partition is the partition that holds the turns.
	Partition int
}

// TurnsNotice informs the instance that indexes a partition of newly stored turns.
type TurnsNotice struct {
	Partition int
	Turns     []StoredTurn
	// Took is the duration of the append reported by StoreSlow, 0 if the append has
	// not returned.
	Took time.Duration
	// StoreEvent is a change of the store's state that the sender observed, 0 if none.
	// A notice may contain only this.
	StoreEvent StoreEvent
}

// StoreEvent is a change of the store's state.
type StoreEvent uint8

// Store events.
const (
	// StoreSlow means that appends to the store are slow.
	StoreSlow StoreEvent = iota + 1
	// StoreRecovered means that the store accepts appends again after a failure.
	StoreRecovered
)

// StoreTurnsRequest requests that an instance append turns on behalf of one that cannot
// reach the store.
type StoreTurnsRequest struct {
	Number    uint64
	Partition int
	Turns     []StoredTurn
}

// StoreTurnsReply replies to a StoreTurnsRequest.
type StoreTurnsReply struct {
	Number uint64
	// Stored indicates that the store holds the turns. If false, it may or may not hold
	// them.
	Stored bool
	// Took is the duration of the append, 0 if unknown. Slow indicates that it exceeds
	// the typical duration at the instance that appended.
	Took time.Duration
	Slow bool
}

// Kind implementations of the messages.
func (*ConversationRequest) Kind() MessageKind { return KindConversationRequest }
func (*ConversationReply) Kind() MessageKind   { return KindConversationReply }
func (*TurnsNotice) Kind() MessageKind         { return KindTurnsNotice }
func (*StoreTurnsRequest) Kind() MessageKind   { return KindStoreTurnsRequest }
func (*StoreTurnsReply) Kind() MessageKind     { return KindStoreTurnsReply }
