package settings_test

import (
	"bytes"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/settings"
)

var _ = Describe("the reference", func() {
	It("documents every setting with what it accepts and its effect", func() {
		for _, field := range settings.Reference() {
			Expect(field.Accepts).NotTo(BeEmpty(), field.Path)
			Expect(field.Effect).NotTo(BeEmpty(), field.Path)
		}
	})

	It("is the page that operators read", func() {
		var made bytes.Buffer
		Expect(settings.WriteMarkdown(&made)).To(Succeed())
		page, err := os.ReadFile("../../docs/operate/settings-reference.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(made.String()))
	})

	It("has a schema with every section and the fields that must be given", func() {
		schema := settings.JSONSchema()
		Expect(schema.Required).To(ConsistOf("region", "data_centre"))
		Expect(schema.Properties["peer"].Required).To(ConsistOf("address", "keys"))
		Expect(schema.Properties["peer"].Properties["keys"].Items.Properties).To(HaveKey("file"))
	})
})
