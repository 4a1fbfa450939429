// Package examples embeds the example manifests, so that the development deployment can run without reading
// files.
package examples

import _ "embed"

// The example manifests, as JSON with comments and trailing commas.
var (
	//go:embed manifest-arwyddion.jsonc
	ArwyddionManifest []byte
	//go:embed manifest-vinnufata.jsonc
	VinnufataManifest []byte
)
