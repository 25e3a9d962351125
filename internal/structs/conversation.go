package structs

import "time"

// Kinds of the messages about the conversations that the system keeps.
const (
	KindConversationRequest MessageKind = 34
	KindConversationReply   MessageKind = 35
	KindTurnsNotice         MessageKind = 36
	KindStoreTurnsRequest   MessageKind = 37
	KindStoreTurnsReply     MessageKind = 38
)

// StoredTurn is one turn of a conversation. It never changes.
type StoredTurn struct {
	// ID is that of the request which ran the turn, Previous that of the turn
	// before it, empty at the start of a conversation.
	ID       string
	Previous string
	Input    []byte
	// Output is what the turn adds to the conversation behind its input: the
	// data of each event, each with a line feed.
	Output []byte
	// Ended is when the turn ended, in milliseconds since 1970 by the clock of
	// the instance that ran it.
	Ended int64
	// Retention is how long it may be named after its end.
	Retention time.Duration
}

// ConversationOutcome is what an instance knows of a turn.
type ConversationOutcome uint8

// Outcomes of a ConversationRequest.
const (
	// ConversationFound: the reply holds the turn and all before it.
	ConversationFound ConversationOutcome = 1
	// ConversationUnknown: the partition was read to its end after the request
	// came, and the turn is not in it.
	ConversationUnknown ConversationOutcome = 2
	// ConversationUnreadable: the partition could not be read.
	ConversationUnreadable ConversationOutcome = 3
)

// ConversationRequest asks for a turn of a partition with all before it.
type ConversationRequest struct {
	Number    uint64
	Partition int
	Turn      string
}

// ConversationReply answers a ConversationRequest.
type ConversationReply struct {
	Number  uint64
	Outcome ConversationOutcome
	// Turns are the oldest first.
	Turns []StoredTurn
	// Partition holds them.
	Partition int
}

// TurnsNotice tells the instance that indexes a partition of turns that the
// store holds.
type TurnsNotice struct {
	Partition int
	Turns     []StoredTurn
	// Took is how long the store took for an append with StoreSlow, 0 if one
	// hangs.
	Took time.Duration
	// StoreEvent is what the sender has found out about the store. A notice may hold
	// nothing else.
	StoreEvent StoreNews
}

// StoreNews is what an instance tells others about the store.
type StoreNews uint8

// Kinds of news.
const (
	// StoreSlow means that the store takes long for appends.
	StoreSlow StoreNews = iota + 1
	// StoreRecovered means that it takes appends again after it took none.
	StoreRecovered
)

// StoreTurnsRequest asks an instance to append turns to the store for one that does
// not reach it.
type StoreTurnsRequest struct {
	Number    uint64
	Partition int
	Turns     []StoredTurn
}

// StoreTurnsReply answers a StoreTurnsRequest.
type StoreTurnsReply struct {
	Number uint64
	// Stored tells that the store holds the turns; if not, it may still.
	Stored bool
	// Took is how long the store took for the append, 0 if it is unknown. Slow
	// tells that this is long for the instance that made it.
	Took time.Duration
	Slow bool
}

// Kind tags of the messages.
func (*ConversationRequest) Kind() MessageKind { return KindConversationRequest }
func (*ConversationReply) Kind() MessageKind   { return KindConversationReply }
func (*TurnsNotice) Kind() MessageKind         { return KindTurnsNotice }
func (*StoreTurnsRequest) Kind() MessageKind   { return KindStoreTurnsRequest }
func (*StoreTurnsReply) Kind() MessageKind     { return KindStoreTurnsReply }
