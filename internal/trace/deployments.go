package trace

import "time"

// Load describes the requests that one service receives.
type Load struct {
	Service string
	Method  string
	Path    string
	// Share is the relative share of requests, among the loads of the deployment.
	Share float64
	// Priority is sent with each request; nil sends none.
	Priority *int
	// PromptWords and MaxTokens are inclusive bounds for requests to model
	// services. TemplateWords is the number of words at the start of each prompt
	// that are common to the requests of an organisation.
	PromptWords   [2]int
	TemplateWords int
	MaxTokens     [2]int
	// Streamed is the fraction of answers that are streamed.
	Streamed float64
	// AtMostOnce requests carry an idempotency key; Resent is the fraction of them
	// that the caller sends again with the same key.
	AtMostOnce bool
	Resent     float64
	Deadline   time.Duration
}

// Deployment is a set of organisations and the load that they generate.
type Deployment struct {
	Name          string
	Organisations []OrganisationLoad
	Loads         []Load
	// Topics are the words from which prompts and bodies are generated.
	Topics []string
}

// OrganisationLoad is an organisation and its relative share of the requests.
type OrganisationLoad struct {
	Name  string
	Share float64
}

// urgent is the priority of requests to the service dispatch-svc.
const urgent = 0

// Shares of large and small organisations: a few large ones send most requests.
const (
	largeShare = 8
	smallShare = 1
)

// organisations gives the first of the names, as many as large says, the large share and
// the others the small one.
func organisations(large int, names ...string) []OrganisationLoad {
	loads := make([]OrganisationLoad, len(names))
	for i, name := range names {
		loads[i] = OrganisationLoad{Name: name, Share: smallShare}
		if i < large {
			loads[i].Share = largeShare
		}
	}
	return loads
}

// Deployments returns the two deployments at their current sizes. The share of a
// service follows its number of backend servers, with a larger share for plain
// services, whose requests are short.
func Deployments() []Deployment {
	return []Deployment{folletoAndino(), portvaktsbolaget()}
}

func folletoAndino() Deployment {
	return Deployment{
		Name: "folleto-andino",
		Organisations: organisations(3,
			"santiago-centro", "antofagasta-norte", "puerto-montt", "valparaiso", "temuco",
			"iquique", "rancagua", "talca", "osorno", "arica"),
		Loads: []Load{
			{
				Service: "copywriter", Method: "POST", Path: PathChat, Share: 11,
				TemplateWords: 64, PromptWords: [2]int{16, 96}, MaxTokens: [2]int{16, 64},
				Streamed: 0.8, Deadline: 30 * time.Second,
			},
			{
				Service: "layout-assets", Method: "POST", Path: "/services/layout-assets/previews",
				Share: 5, Deadline: 10 * time.Second,
			},
			{
				Service: "backoffice", Method: "POST", Path: "/services/backoffice/jobs",
				Share: 2, AtMostOnce: true, Resent: 0.2, Deadline: 10 * time.Second,
			},
		},
		Topics: []string{
			"folleto", "panel", "oferta", "precio", "portada", "pliego", "promo", "temporada",
			"logo", "margen", "tinta", "prueba", "catalogo", "tienda", "formato", "plazo",
		},
	}
}

func portvaktsbolaget() Deployment {
	return Deployment{
		Name: "portvaktsbolaget",
		Organisations: organisations(3,
			"hallvakt", "goteborg-fastighet", "malmo-skotsel", "vasa-drift", "kungsholm",
			"majorna", "mollan", "sodra-port", "hisingen", "limhamn"),
		Loads: []Load{
			{
				Service: "concierge-llm", Method: "POST", Path: PathChat, Share: 12,
				TemplateWords: 48, PromptWords: [2]int{8, 48}, MaxTokens: [2]int{8, 48},
				Streamed: 0.9, Deadline: 15 * time.Second,
			},
			{
				Service: "dispatch-svc", Method: "POST", Path: "/services/dispatch-svc/dispatches",
				Share: 4, Priority: new(urgent), AtMostOnce: true, Resent: 0.2, Deadline: 10 * time.Second,
			},
			{
				Service: "partner-portal", Method: "POST", Path: "/services/partner-portal/lookups",
				Share: 2, Deadline: 10 * time.Second,
			},
		},
		Topics: []string{
			"tvattstuga", "nyckel", "parkering", "lacka", "port", "hiss", "felanmalan", "jour",
			"trapphus", "kod", "vatten", "element", "bokning", "forening", "las", "belysning",
		},
	}
}
