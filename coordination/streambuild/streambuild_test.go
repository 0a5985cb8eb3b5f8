package streambuild

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a stream that goes on at the only build in sight although it may have begun at another: one that
// left within a stream's lifetime, before this instance started, or unseen by an instance that is cut off.
func TestBuildIsInferredOnlyWithoutAnother(t *testing.T) {
	h := NewHistory(start)
	seen := func(build string, at time.Duration) { h.Saw(Origin{"svc", build}, start.Add(at)) }
	want := func(at time.Duration, build string, ok bool) {
		t.Helper()
		if got, one := h.Builds("svc", start.Add(at)), h.HadOneBuild("svc", start.Add(at)); one != ok || ok && got.One != build {
			t.Errorf("after %s: %+v, %v", at, got, one)
		}
	}
	seen("v1", 0)
	want(StreamLifetime/2, "", false) // an instance that has just started
	seen("v1", StreamLifetime)
	want(StreamLifetime, "v1", true)
	seen("v2", StreamLifetime+time.Second)
	want(StreamLifetime+2*time.Second, "", false)
	seen("v1", StreamLifetime+2*time.Second)
	seen("v2", 2*StreamLifetime)
	want(2*StreamLifetime, "", false) // v1 has left, and its streams may be taken up
	seen("v2", 3*StreamLifetime)
	want(3*StreamLifetime, "v2", true)
	h = NewHistory(start)
	h.SetComplete()
	seen("v1", 0)
	want(0, "v1", true)
}

// Guards against an inference that another instance contradicts, or that an instance draws which no other one answers.
func TestBuildIsAgreedOnByAllAnswers(t *testing.T) {
	v1, v2, several := Builds{1, "v1", true}, Builds{1, "v2", true}, Builds{Count: 2, Covered: true}
	started, startedV2 := Builds{1, "v1", false}, Builds{1, "v2", false}
	for _, tc := range []struct {
		name     string
		own      Builds
		others   []Builds
		hasPeers bool
		want     string
	}{
		{"alone in the fleet", v1, nil, false, "v1"},
		{"cut off", v1, nil, true, ""},
		{"just started", started, []Builds{v1, v1}, true, "v1"},
		{"just started and without a server yet", Builds{}, []Builds{v1}, true, "v1"},
		{"beside one that has just started", v1, []Builds{started}, true, "v1"},
		{"just started, as all others", started, []Builds{started}, true, ""},
		{"just started and alone", started, nil, false, ""},
		{"one has seen two builds", v1, []Builds{v1, several}, true, ""},
		{"this one has seen two builds", several, []Builds{v1}, true, ""},
		{"one that has just started has seen another", v1, []Builds{startedV2}, true, ""},
		{"two do not agree", started, []Builds{v1, v2}, true, ""},
		{"another does not agree", v1, []Builds{v2}, true, ""},
	} {
		var answers []Answer
		for _, b := range tc.others {
			answers = append(answers, Answer{Builds: b})
		}
		if got, ok := Agreed(tc.own, answers, tc.hasPeers); ok != (tc.want != "") || ok && got != tc.want {
			t.Errorf("%s: %q, %v", tc.name, got, ok)
		}
	}
}

// Guards against records that grow without bound or are dropped within a stream's lifetime.
func TestRecordsAreBounded(t *testing.T) {
	r := NewRecords(start)
	for i := range 5 * maxRecords {
		r.Begin(Record{StreamID(i), Origin{"svc", "v1"}}, start)
	}
	if n := r.Len(); n > 2*maxRecords {
		t.Errorf("%d records", n)
	}
	if n := len(r.TakeUnreported("svc")); n > maxRunning {
		t.Errorf("%d unreported streams", n)
	}
	r = NewRecords(start)
	for s := range 300 {
		r.Keep(Record{StreamID(s), Origin{"svc", "v1"}}, start.Add(time.Duration(s)*time.Second))
		oldest := max(s-int(StreamLifetime.Seconds())+1, 0)
		if _, ok := r.Find(StreamID(oldest)); !ok {
			t.Fatalf("the record of second %d is lost in second %d", oldest, s)
		}
	}
	if n := r.Len(); n > int(2*StreamLifetime.Seconds()) {
		t.Errorf("%d records of 300 s", n)
	}
}

// Guards against unreported streams that stay for ever when their answers broke off.
func TestUnreportedStreamsExpire(t *testing.T) {
	r := NewRecords(start)
	r.Begin(Record{1, Origin{"svc", "v1"}}, start)
	for s := range 3 {
		r.Keep(Record{StreamID(100 + s), Origin{"svc", "v1"}}, start.Add(time.Duration(s+1)*StreamLifetime))
	}
	if got := r.TakeUnreported("svc"); len(got) != 0 {
		t.Errorf("%v", got)
	}
}

func fleet(instances int) []Member {
	var out []Member
	for i := range instances {
		out = append(out, Member{
			ID: fmt.Sprint("front-", i), Region: []string{"east", "west", "south"}[i%3],
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7600),
		})
	}
	return out
}

// without returns the members but those for which drop returns true.
func without(all []Member, drop func(Member) bool) []Member {
	var out []Member
	for _, m := range all {
		if !drop(m) {
			out = append(out, m)
		}
	}
	return out
}

// Guards against a record that the next instance does not find: when the first instance, any tenth of the others, or the
// whole region of the first one has ended, as long as one keeper is left.
func TestCandidatesIncludeTheKeepers(t *testing.T) {
	all := fleet(90)
	first := NewMembers(all[0].Region, all[1:])
	for _, lost := range []struct {
		name string
		drop func(Member) bool
	}{
		{"none", func(Member) bool { return false }},
		{"a tenth", func(m Member) bool { n, _ := strconv.Atoi(m.ID[len("front-"):]); return n%10 == 3 }},
		{"the region", func(m Member) bool { return m.Region == all[0].Region }},
	} {
		left := without(all[1:], lost.drop)
		at := left[len(left)/2]
		next := NewMembers(at.Region, without(left, func(m Member) bool { return m.ID == at.ID }))
		missed := 0
		for stream := range StreamID(1000) {
			found, alive := false, false
			for _, keeper := range first.Keepers(stream) {
				for _, m := range left {
					alive = alive || m.ID == keeper.ID
				}
				found = found || keeper.ID == at.ID
				for _, c := range next.Candidates(stream) {
					found = found || c.ID == keeper.ID
				}
			}
			if alive && !found {
				missed++
			}
		}
		if missed > 0 {
			t.Errorf("%s lost: %d of 1000 streams have a keeper that is not asked", lost.name, missed)
		}
	}
}

func BenchmarkSizeStreamKeepers(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			all := fleet(n)
			m := NewMembers(all[0].Region, all[1:])
			for i := range b.N {
				m.Keepers(StreamID(i))
			}
		})
	}
}
