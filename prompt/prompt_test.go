package prompt

import "testing"

func TestParse(t *testing.T) {
	tests := []struct {
		name                   string
		parts, tokens, hint    string
		total, shared, outputs int
		subject                bool
	}{
		{"whole", "a:100,b:200,c:300", "600,80", "", 600, 300, 80, true},
		{"hint", "a:100,b:200", "300,80", "20", 300, 100, 20, true},
		{"one part", "a:100", "100,5", "", 100, 0, 5, false},
		{"nothing", "", "", "", 0, 0, 0, false},
		{"negative tokens", "", "-5,-80", "", 0, 0, 0, false},
		{"more than there can be", "a:9223372036854775807,b:99999999999999999999", "7,9223372036854775807", "", 2 * mostTokens, mostTokens, mostTokens, true},
		{"odd parts are passed over", "a:100,b,c:-1,d:x,e:50,f:10", "160,1", "x", 160, 150, 1, true},
	}
	for _, tt := range tests {
		p := Parse(tt.parts, tt.tokens, tt.hint)
		if p.Tokens() != tt.total || p.SharedTokens() != tt.shared || p.Output() != tt.outputs || (p.Subject() != 0) != tt.subject {
			t.Errorf("%s: got %d, %d shared, %d out, subject %d", tt.name, p.Tokens(), p.SharedTokens(), p.Output(), p.Subject())
		}
	}
}

// A caller who told two counts of 2^62 drew less than no units of the workspace's cap, and
// gave the workspace as many in effect; found by reading: the sum of the two filled the sign.
func TestCountedIsNeverNegative(t *testing.T) {
	p := Parse("", "4611686018427387904,4611686018427387904", "")
	if tokens, told := p.Counted(); !told || tokens != 2*mostTokens {
		t.Errorf("counted %d, told %t, want %d", tokens, told, 2*mostTokens)
	}
}

// FuzzParse: whatever a request says of its prompt are counts that add up.
func FuzzParse(f *testing.F) {
	f.Add("a:100,b:200,c:300", "600,80", "20")
	f.Add("a:9223372036854775807,b:9223372036854775807", "4611686018427387904,4611686018427387904", "-1")
	f.Add(":,::,a:-1,b:99999999999999999999", "-9223372036854775808,1e9", "NaN")
	f.Fuzz(func(t *testing.T, parts, tokens, hint string) {
		p := Parse(parts, tokens, hint)
		counted, _ := p.Counted()
		if p.SharedTokens() < 0 || p.Tokens() < p.SharedTokens() || p.Output() < 0 || p.Output() > mostTokens || counted < 0 || counted > 2*mostTokens {
			t.Errorf("%d tokens, %d shared, %d out, %d counted", p.Tokens(), p.SharedTokens(), p.Output(), counted)
		}
	})
}
