// Package admission orders the requests that wait for a slot of a service, and schedules
// when refused callers come back.
package admission
