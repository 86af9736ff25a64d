package gateway

import (
	"google.golang.org/protobuf/encoding/protowire"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
)

// linkReport reports which services an instance doesn't reach.
type linkReport struct {
	// Instance is the instance that the report is about.
	Instance instance.Address
	link.Report
	// Forward is as in failureReport.
	Forward bool
}

func (linkReport) message() {}

func (m linkReport) forwarded(forward bool) message {
	m.Forward = forward
	return m
}

func (m linkReport) subject() string { return string(m.Instance) }

// encodeLinkReport returns the wire form of a report. It leaves out services that don't fit
// into a datagram.
func encodeLinkReport(m linkReport) []byte {
	b := appendNumber(nil, fieldType, linkReportType)
	b = appendText(b, fieldService, string(m.Instance))
	b = appendNumber(b, fieldGranted, protowire.EncodeBool(m.All))
	b = appendNumber(b, fieldForward, protowire.EncodeBool(m.Forward))
	for _, name := range m.Services {
		item := appendText(nil, fieldName, name)
		if len(b)+len(item)+loadOverheadBytes > maxDatagramBytes {
			break
		}
		b = appendText(b, fieldItem, string(item))
	}
	return b
}

func (f *fields) linkReport() linkReport {
	m := linkReport{
		Instance: instance.Address(f.texts[fieldService]),
		Report: link.Report{
			All: protowire.DecodeBool(f.numbers[fieldGranted]),
		},
		Forward: protowire.DecodeBool(f.numbers[fieldForward]),
	}
	for _, item := range f.items {
		m.Services = append(m.Services, item.texts[fieldName])
	}
	return m
}
