package report

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Kind classifies the errors of this package.
type Kind string

// KindPlot means that the chart could not be drawn.
const KindPlot Kind = "plot"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	plotWidth     = 20 * vg.Centimeter
	plotHeight    = 10 * vg.Centimeter
	barGroupWidth = 14 * vg.Millimeter
)

// WriteSVG draws a bar chart of each plan's VM-hours: used, charged in the shared pool
// and needed in a separate pool. Errors in drawing are of type *Error.
func (r Report) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "VM-hours by plan"
	p.Y.Label.Text = "VM-hours"
	p.Legend.Top = true
	var names []string
	values := map[string]plotter.Values{}
	for _, row := range r.Rows {
		names = append(names, row.Plan)
		values["used"] = append(values["used"], row.UsedVMHours)
		values["shared pool"] = append(values["shared pool"], row.SharedPoolVMHours)
		values["pool of its own"] = append(values["pool of its own"], row.SeparatePoolVMHours)
	}
	for i, title := range []string{"used", "shared pool", "pool of its own"} {
		if len(values[title]) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values[title], barGroupWidth/3)
		if err != nil {
			return fault.New("plot", KindPlot, err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Length(i-1) * barGroupWidth / 3
		p.Add(bars)
		p.Legend.Add(title, bars)
	}
	if len(names) > 0 {
		p.NominalX(names...)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fault.New("plot", KindPlot, err)
	}
	_, err = writer.WriteTo(w)
	return err
}
