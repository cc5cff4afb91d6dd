package budget

import "image/color"

// lineColor returns the gray of the given level, or red for level 0, which marks bad
// statements.
func lineColor(gray uint8) color.Color {
	if gray == 0 {
		return color.RGBA{R: 200, G: 40, B: 30, A: 255}
	}
	return color.Gray{Y: gray}
}
