package main

import "math"

// point is one measured value.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// line is y = Intercept + Slope * x.
type line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root of the mean squared distance of the points.
	Residual float64 `json:"residual"`
}

// fitLine returns the line of least squares. Points that all have the same x
// give a level line through their mean.
func fitLine(points []point) line {
	if len(points) == 0 {
		return line{}
	}
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var varX, cov float64
	for _, p := range points {
		varX += (p.X - meanX) * (p.X - meanX)
		cov += (p.X - meanX) * (p.Y - meanY)
	}
	l := line{Intercept: meanY}
	if varX > 0 {
		l.Slope = cov / varX
		l.Intercept = meanY - l.Slope*meanX
	}
	var squares float64
	for _, p := range points {
		d := p.Y - l.at(p.X)
		squares += d * d
	}
	l.Residual = math.Sqrt(squares / n)
	return l
}

// at returns the line's value at x.
func (l line) at(x float64) float64 { return l.Intercept + l.Slope*x }
