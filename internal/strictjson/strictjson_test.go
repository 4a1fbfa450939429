package strictjson_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/strictjson"
	"cactuswall.example/cactuswall/internal/units"
)

type inner struct {
	Wait  units.Duration `json:"wait" validate:"gt=0"`
	Count int            `json:"count" validate:"gt=0,max=10"`
}

type document struct {
	Name    string  `json:"name" validate:"required"`
	Address string  `json:"address" validate:"ipport"`
	Secret  string  `json:"secret" validate:"min=16"`
	Inner   inner   `json:"inner"`
	Items   []inner `json:"items" validate:"dive"`
}

const validFields = `{"name": "n", "address": "10.0.0.1:7000", "secret": "0123456789abcdef", "inner": {"wait": "1s", "count": 1}`

func TestDecode(t *testing.T) {
	Convey("Decode", t, func() {
		decode := func(text string) string {
			return strictjson.Decode([]byte(text), &document{}).Error()
		}
		Convey("accepts comments and trailing commas", func() {
			So(decode("// first\n"+validFields+",}"), ShouldEqual, "")
		})
		Convey("reports all kinds of problems at once, sorted by path", func() {
			text := `{"name": 3, "address": "localhost:80", "secret": "short", "extra": 1,
				"inner": {"wait": "-1s", "count": 1.5}, "items": [{"wait": "1s", "count": 11, "count": 2}]}`
			So(decode(text), ShouldEqual, `address: "localhost:80" is not an IP address with a port, such as 127.0.0.1:7000
extra: unknown field
inner.count: found a JSON number 1.5, expected a whole number within range
inner.wait: must be greater than 0, is -1s
items[0].count: duplicate field
name: found a JSON number, expected a string
secret: must have at least 16 characters, has 5`)
		})
		Convey("rejects null except for a list", func() {
			So(decode(`{"inner": null}`), ShouldContainSubstring, "inner: must not be null")
			So(decode(`{"items": null}`), ShouldNotContainSubstring, "items")
		})
		Convey("rejects port 0", func() {
			So(decode(`{"address": "10.0.0.1:0"}`), ShouldContainSubstring, "address: ")
		})
		Convey("rejects an empty document, data after the document and a document that is not an object", func() {
			So(decode(" \n"), ShouldEqual, "the document is empty")
			So(decode(validFields+"} {}"), ShouldContainSubstring, "after top-level value")
			So(decode("[]"), ShouldEqual, "expected an object")
		})
	})
}
