package ticket_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/types"
)

func TestTicket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ticket")
}

var (
	oldKey = ticket.Key{ID: "2026-01", Secret: bytes.Repeat([]byte("a"), ticket.MinSecretBytes)}
	newKey = ticket.Key{ID: "2026-02", Secret: bytes.Repeat([]byte("b"), ticket.MinSecretBytes)}
	claims = ticket.Claims{
		ID:      ticket.ID{1, 2, 3},
		Org:     "coop",
		Owner:   types.Incarnation{VM: "10.0.0.1:7000", Boot: "b1"},
		Issuer:  types.Incarnation{VM: "10.0.0.2:7000", Boot: "b2"},
		Floor:   7,
		StartBy: time.Date(2026, 1, 1, 0, 0, 30, 0, time.UTC),
	}
)

func keyring(keys ...ticket.Key) *ticket.Keyring {
	ring, err := ticket.NewKeyring(keys...)
	if err != nil {
		panic(err)
	}
	return ring
}

var _ = Describe("Keyring", func() {
	It("verifies what it signed and refuses every text that differs in one byte", func() {
		ring := keyring(oldKey)
		text, err := ring.Sign(claims)
		Expect(err).NotTo(HaveOccurred())
		Expect(ring.Verify(text)).To(Equal(claims))
		for i := range text {
			changed := []byte(text)
			changed[i] ^= 1
			_, err := ring.Verify(string(changed))
			Expect(err).To(HaveOccurred(), "byte %d of %s", i, text)
		}
		_, err = ring.Verify(strings.ReplaceAll(text, ".", "..") + "=")
		Expect(err).To(MatchError(ticket.ErrMalformed))
	})

	It("distinguishes a forged ticket from one signed with an unknown key", func() {
		text, err := keyring(newKey).Sign(claims)
		Expect(err).NotTo(HaveOccurred())
		_, err = keyring(oldKey).Verify(text)
		Expect(err).To(MatchError(ticket.ErrUnknownKey))
		_, err = keyring(ticket.Key{ID: newKey.ID, Secret: oldKey.Secret}).Verify(text)
		Expect(err).To(MatchError(ticket.ErrForged))
	})

	It("verifies, at each step of a key rotation, the tickets of the steps before and after", func() {
		steps := []*ticket.Keyring{keyring(oldKey), keyring(oldKey, newKey), keyring(newKey, oldKey), keyring(newKey)}
		for i := range len(steps) - 1 {
			for _, pair := range [][2]int{{i, i + 1}, {i + 1, i}} {
				text, err := steps[pair[0]].Sign(claims)
				Expect(err).NotTo(HaveOccurred())
				_, err = steps[pair[1]].Verify(text)
				Expect(err).NotTo(HaveOccurred(), "signed at step %d, verified at step %d", pair[0], pair[1])
			}
		}
	})

	DescribeTable("refuses invalid keys", func(message string, keys ...ticket.Key) {
		_, err := ticket.NewKeyring(keys...)
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("no key", "at least one key"),
		Entry("the same key twice", "occurs twice", oldKey, oldKey),
		Entry("a dot in the ID", "letters, digits", ticket.Key{ID: "a.b", Secret: oldKey.Secret}),
		Entry("a secret that is too short", "has 5 bytes", ticket.Key{ID: "a", Secret: []byte("short")}),
	)
})

func FuzzVerify(f *testing.F) {
	ring := keyring(oldKey)
	text, err := ring.Sign(claims)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("fm1.2026-01..")
	f.Add("order-17")
	f.Fuzz(func(t *testing.T, text string) {
		verified, err := ring.Verify(text)
		if err != nil {
			return
		}
		signedAgain, err := ring.Sign(verified)
		if err != nil || signedAgain != text {
			t.Fatalf("accepted %q, which this keyring did not sign", text)
		}
	})
}
