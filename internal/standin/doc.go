// Package standin provides stand-ins for the platform and the targets in tests
// and demonstrations: the key-value store (Store), the instance list (List) and
// servers that process requests (Target). Each can be set to show the faults of
// the real one. Load sends a bounded number of requests and counts, from the
// targets' reports, how often each was executed.
//
// The stand-ins keep everything in memory and aren't made for production. Each
// is an http.Handler whose faults are set by methods. The Admin handlers offer
// the same over HTTP, in Pascal-case JSON, for stand-ins in another process.
//
// # Usage
//
//	platform := standin.NewStore()
//	server := httptest.NewServer(platform)
//	platform.SetFaults(standin.StoreFaults{
//		Outage: true,
//	})
package standin
