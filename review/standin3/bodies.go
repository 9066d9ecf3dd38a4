//go:build review

package main

import "encoding/json"

// submission returns the body of a submission with equal steps.
func submission(spec string, steps, count int, image string) []byte {
	list := make([]any, steps)
	for i := range list {
		list[i] = map[string]any{"count": count, "cpu": 1000, "memMb": 512, "estimateMs": 300, "image": image}
	}
	data, _ := json.Marshal(map[string]any{"spec": spec, "steps": list})
	return data
}
