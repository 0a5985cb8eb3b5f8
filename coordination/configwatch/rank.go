package configwatch

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/service"
)

// revisionBits is how many low bits of a rank hold the store's revision: at a
// thousand writes per second they last for nine thousand years.
const revisionBits = 48

// Rank orders documents across restores of the store. A store that is restored from a
// backup hands out revisions again that were used before; each restore therefore starts
// a generation, which takes precedence over the revision.
func Rank(generation, revision int64) int64 { return generation<<revisionBits | revision }

// SplitRank returns the generation and the revision of a rank.
func SplitRank(rank int64) (generation, revision int64) {
	return rank >> revisionBits, rank & (1<<revisionBits - 1)
}

// FormatRank formats a rank for people: the store's revision, with the generation in
// front if the store was ever restored.
func FormatRank(rank int64) string {
	generation, revision := SplitRank(rank)
	if generation == 0 {
		return strconv.FormatInt(revision, 10)
	}
	return fmt.Sprintf("%d/%d", generation, revision)
}

// KindGeneration is the kind of the marker in the store that holds its generation.
const KindGeneration service.Kind = "generation"

// GenerationKey returns the store key of the generation marker.
func GenerationKey() string { return service.StoreKey(KindGeneration, "store") }

// Generations maps revisions of the store to generations. The zero value is that of a
// store that was never restored.
type Generations struct {
	Current  int64
	Revision int64 // of the marker; 0 when there is none
	earlier  []generationStart
}

type generationStart struct{ generation, revision int64 }

// ParseGenerations decodes the marker, whose value is stored at a revision. It lists
// the current generation first and then the generation and first revision of each
// earlier one.
func ParseGenerations(revision int64, value []byte) (Generations, error) {
	g := Generations{Revision: revision}
	for n, line := range strings.Split(strings.TrimSpace(string(value)), "\n") {
		if n == 0 {
			if _, err := fmt.Sscanf(line, "%d", &g.Current); err != nil {
				return Generations{}, errors.Wrap(err, "parse generation marker")
			}
			continue
		}
		var start generationStart
		if _, err := fmt.Sscanf(line, "%d %d", &start.generation, &start.revision); err != nil {
			return Generations{}, errors.Wrap(err, "parse generation marker")
		}
		g.earlier = append(g.earlier, start)
	}
	return g, nil
}

// Next encodes the marker of a generation above both the current one and the given one.
func (g Generations) Next(above int64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", max(g.Current, above)+1)
	if g.Revision > 0 {
		fmt.Fprintf(&b, "%d %d\n", g.Current, g.Revision)
	}
	for _, start := range g.earlier {
		fmt.Fprintf(&b, "%d %d\n", start.generation, start.revision)
	}
	return []byte(b.String())
}

// Rank returns the rank of a revision of the store. A revision from before the marker
// belongs to the generation that was current then.
func (g Generations) Rank(revision int64) int64 {
	if revision >= g.Revision {
		return Rank(g.Current, revision)
	}
	for _, start := range g.earlier {
		if revision >= start.revision {
			return Rank(start.generation, revision)
		}
	}
	return Rank(0, revision)
}
