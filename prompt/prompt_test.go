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
		{"odd parts are passed over", "a:100,b,c:-1,d:x,e:50,f:10", "160,1", "x", 160, 150, 1, true},
	}
	for _, tt := range tests {
		p := Parse(tt.parts, tt.tokens, tt.hint)
		if p.Tokens() != tt.total || p.SharedTokens() != tt.shared || p.Output() != tt.outputs || (p.Subject() != 0) != tt.subject {
			t.Errorf("%s: got %d, %d shared, %d out, subject %d", tt.name, p.Tokens(), p.SharedTokens(), p.Output(), p.Subject())
		}
	}
}
