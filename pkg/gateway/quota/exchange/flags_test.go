package exchange_test

// CI gives the flags of ginkgo to the tests of every package. The tests of this one run in
// bubbles of testing/synctest, as plain functions, and only have to know the flags.
import _ "github.com/onsi/ginkgo/v2"
