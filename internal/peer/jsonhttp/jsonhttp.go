// Package jsonhttp sends and receives JSON over HTTP. The clients of the platform's
// services, their emulations and the caller interface share it.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// MaxBodyBytes is the maximum number of bytes read from a body.
const MaxBodyBytes = 64 << 20

// StatusError is a reply with a status other than 200.
type StatusError struct {
	// Code is the HTTP status.
	Code int
	// Message is the body, truncated to maxMessageBytes.
	Message string
}

const maxMessageBytes = 512

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Message) }

// Post sends request as JSON and decodes the JSON reply. It returns a *StatusError
// for a status other than 200.
func Post(ctx context.Context, client *http.Client, url string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return doRequest(ctx, client, http.MethodPost, url, bytes.NewReader(body), reply)
}

// Get sends a GET request and decodes the JSON reply. It returns a *StatusError for
// a status other than 200.
func Get(ctx context.Context, client *http.Client, url string, reply any) error {
	return doRequest(ctx, client, http.MethodGet, url, nil, reply)
}

// GetIfChanged is like Get, but skips the download when the entity tag of the
// resource still equals tag; reply is then left unchanged. It returns the current
// entity tag. With an empty tag it always downloads the resource.
func GetIfChanged(ctx context.Context, client *http.Client, url, tag string, reply any) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	omitUserAgent(r)
	s, err := client.Do(r)
	if err != nil {
		return "", err
	}
	if s.StatusCode == http.StatusNotModified {
		return tag, s.Body.Close()
	}
	return s.Header.Get("ETag"), decodeResponse(s, reply)
}

// doRequest sends a request and decodes the JSON reply.
func doRequest(ctx context.Context, client *http.Client, method, url string, body io.Reader, reply any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	omitUserAgent(r)
	s, err := client.Do(r)
	if err != nil {
		return err
	}
	return decodeResponse(s, reply)
}

// omitUserAgent removes the User-Agent header, which no peer reads, to save
// traffic.
func omitUserAgent(r *http.Request) { r.Header.Set("User-Agent", "") }

// decodeResponse decodes the JSON body of a response into reply and closes the
// body.
func decodeResponse(s *http.Response, reply any) error {
	defer func() { _ = s.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(s.Body, MaxBodyBytes))
	if err != nil {
		return err
	}
	if s.StatusCode != http.StatusOK {
		return &StatusError{Code: s.StatusCode, Message: string(data[:min(len(data), maxMessageBytes)])}
	}
	return json.Unmarshal(data, reply)
}

// Write replies with a status and a value encoded as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Handler converts a function from request to reply into an HTTP handler with JSON
// bodies. An error results in status 500, or in the code of a *StatusError.
func Handler[Q, A any](f func(ctx context.Context, request Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := f(r.Context(), request)
		if err != nil {
			code := http.StatusInternalServerError
			var status *StatusError
			if errors.As(err, &status) {
				code = status.Code
			}
			http.Error(w, err.Error(), code)
			return
		}
		Write(w, http.StatusOK, reply)
	}
}
