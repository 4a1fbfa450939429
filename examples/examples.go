// Package examples embeds the example manifests, so that the development deployment needs no file.
package examples

import _ "embed"

// The example manifests, JSON with comments.
var (
	//go:embed manifest-arwyddion.jsonc
	ArwyddionManifest []byte
	//go:embed manifest-vinnufata.jsonc
	VinnufataManifest []byte
)
