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
		{"counts beyond the maximum", "a:9223372036854775807,b:99999999999999999999", "7,9223372036854775807", "", 2 * maxTokens, maxTokens, maxTokens, true},
		{"invalid parts are ignored", "a:100,b,c:-1,d:x,e:50,f:10", "160,1", "x", 160, 150, 1, true},
	}
	for _, tt := range tests {
		p := Parse(tt.parts, tt.tokens, tt.hint)
		if p.Tokens() != tt.total || p.SharedTokens() != tt.shared || p.Output() != tt.outputs || (p.PrefixID() != 0) != tt.subject {
			t.Errorf("%s: got %d tokens, %d shared, %d out, prefix ID %d", tt.name, p.Tokens(), p.SharedTokens(), p.Output(), p.PrefixID())
		}
	}
}

// Two stated counts of 2^62 must not overflow their sum: a negative sum would draw a negative
// amount from the workspace's cap and so add to it.
func TestStatedTokensNeverNegative(t *testing.T) {
	p := Parse("", "4611686018427387904,4611686018427387904", "")
	if tokens, stated := p.StatedTokens(); !stated || tokens != 2*maxTokens {
		t.Errorf("got %d tokens, stated %t, want %d", tokens, stated, 2*maxTokens)
	}
}

// FuzzParse checks that no input yields negative or inconsistent counts.
func FuzzParse(f *testing.F) {
	f.Add("a:100,b:200,c:300", "600,80", "20")
	f.Add("a:9223372036854775807,b:9223372036854775807", "4611686018427387904,4611686018427387904", "-1")
	f.Add(":,::,a:-1,b:99999999999999999999", "-9223372036854775808,1e9", "NaN")
	f.Fuzz(func(t *testing.T, parts, tokens, hint string) {
		p := Parse(parts, tokens, hint)
		counted, _ := p.StatedTokens()
		if p.SharedTokens() < 0 || p.Tokens() < p.SharedTokens() || p.Output() < 0 || p.Output() > maxTokens || counted < 0 || counted > 2*maxTokens {
			t.Errorf("%d tokens, %d shared, %d out, %d counted", p.Tokens(), p.SharedTokens(), p.Output(), counted)
		}
	})
}
