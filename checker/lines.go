package checker

import "strings"

// lineIndex finds the line number of a setting, which the INI library does not
// record.
type lineIndex struct {
	// numbers maps a section and a key to a line number. The key is empty for the
	// line of the section itself.
	numbers   map[[2]string]int
	malformed []malformedLine
}

// malformedLine is a line that is not a setting, or that repeats one.
type malformedLine struct {
	number                 int
	section, text, problem string
}

// indexLines indexes the lines of a settings file. Settings before the first section
// are in the section DEFAULT, as for the INI library.
func indexLines(data []byte) lineIndex {
	x := lineIndex{numbers: make(map[[2]string]int)}
	section := "DEFAULT"
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			section = strings.TrimSpace(line[1 : len(line)-1])
			x.numbers[[2]string{section, ""}] = i + 1
		default:
			x.addSetting(section, line, i+1)
		}
	}
	return x
}

func (x *lineIndex) addSetting(section, line string, number int) {
	key, _, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !ok || key == "" {
		x.malformed = append(x.malformed, malformedLine{number: number, section: section, text: line, problem: "not a setting"})
		return
	}
	id := [2]string{section, key}
	if _, twice := x.numbers[id]; twice {
		x.malformed = append(x.malformed, malformedLine{number: number, section: section, text: key, problem: "given twice"})
	}
	x.numbers[id] = number
}

// find returns the line number of a setting, or zero if the file does not have it.
func (x lineIndex) find(section, key string) int { return x.numbers[[2]string{section, key}] }
