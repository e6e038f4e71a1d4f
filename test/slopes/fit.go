package main

// point is one measurement: cost Y at size X.
type point struct{ X, Y float64 }

// line is a cost as a linear function of a size.
type line struct {
	Slope, Intercept float64
	// R2 is the coefficient of determination; zero if all points have the same X
	// or the same Y.
	R2 float64
}

// fit returns the least-squares line through the points. If all points have the same
// size, the slope is zero and the intercept is the mean cost.
func fit(points []point) line {
	n := float64(len(points))
	if n == 0 {
		return line{}
	}
	var x, y float64
	for _, p := range points {
		x += p.X / n
		y += p.Y / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - x) * (p.X - x)
		xy += (p.X - x) * (p.Y - y)
		yy += (p.Y - y) * (p.Y - y)
	}
	if xx == 0 {
		return line{Intercept: y}
	}
	l := line{Slope: xy / xx}
	l.Intercept = y - l.Slope*x
	if yy > 0 {
		l.R2 = xy * xy / (xx * yy)
	}
	return l
}
