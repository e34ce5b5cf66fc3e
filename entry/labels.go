package entry

import (
	"net/http"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/operatorapi"
	"github.com/jacinthrack/jacinthrack/problem"
	"github.com/jacinthrack/jacinthrack/selector"
)

// labelsOf returns a pointer to the labels of the configuration object that req names.
// It returns a *problem.Document if the kind or the object does not exist.
func labelsOf(doc *config.Document, req operatorapi.LabelRequest) (*selector.Labels, error) {
	switch req.Kind {
	case operatorapi.KindBackendServer:
		for i := range doc.BackendServers {
			if doc.BackendServers[i].Name == req.Name {
				return &doc.BackendServers[i].Labels, nil
			}
		}
	case operatorapi.KindCustomer:
		for i := range doc.Customers {
			if doc.Customers[i].Name == req.Name {
				return &doc.Customers[i].Labels, nil
			}
		}
	case operatorapi.KindRoute:
		for i := range doc.Routes {
			if doc.Routes[i].Name == req.Name {
				return &doc.Routes[i].Labels, nil
			}
		}
	case operatorapi.KindService:
		for i := range doc.Services {
			if doc.Services[i].Name == req.Name {
				return &doc.Services[i].Labels, nil
			}
		}
	default:
		return nil, problem.New(problem.TypeBadRequest, http.StatusBadRequest, problem.DidNotRun, "kind %q is not one of backend-server, customer, route, service", req.Kind)
	}
	return nil, problem.New(problem.TypeNotFound, http.StatusNotFound, problem.DidNotRun, "%s %q does not exist", req.Kind, req.Name)
}
