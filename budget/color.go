package budget

import "image/color"

// lineColor returns grey for what is usual and red for what is not.
func lineColor(gray uint8) color.Color {
	if gray == 0 {
		return color.RGBA{R: 200, G: 40, B: 30, A: 255}
	}
	return color.Gray{Y: gray}
}
