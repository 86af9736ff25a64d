package queue_test

import (
	"fmt"
	"time"

	"dandelionmux/pkg/queue"
)

func ExampleQueue() {
	q := queue.New(queue.WithMaxLength(2))
	for n := range uint64(3) {
		for _, r := range q.Push(0, queue.Request{
			Number:       n,
			Organisation: "dispatch",
			Deadline:     time.Second,
		}) {
			fmt.Println("refused:", r.Request.Number, r.Reason)
		}
	}
	r, _, ok := q.Pop(0, 1)
	fmt.Println(r.Number, ok)
	q.Finish(0, r.Organisation, r.Cost, 25*time.Millisecond)
	// Output:
	// refused: 2 overflow
	// 0 true
}
