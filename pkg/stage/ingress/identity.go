package ingress

import (
	"net/http"
	"strings"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

const bearerPrefix = "Bearer "

// identity is the authenticated caller: its credential, the credential's hash
// and its organisation.
type identity struct {
	credential *published.Credential
	org        *published.Organisation
	hash       published.CredentialHash
}

// identify authenticates the caller by the credential in the Authorization
// header.
func identify(header http.Header, config *published.Configuration) (identity, *types.Failure) {
	authorization := header.Get("Authorization")
	if authorization == "" {
		return identity{}, unauthenticated("no credential: send the header Authorization: Bearer CREDENTIAL")
	}
	secret, isBearer := strings.CutPrefix(authorization, bearerPrefix)
	if !isBearer {
		return identity{}, unauthenticated("the Authorization header must be of the form Bearer CREDENTIAL")
	}
	hash := published.HashCredential(secret)
	credential, found := config.Credentials[hash]
	if !found {
		return identity{}, unauthenticated("unknown credential")
	}
	org, found := config.Orgs[credential.Org]
	if !found {
		return identity{}, unauthenticated("the credential's organisation is not published")
	}
	return identity{credential: credential, org: org, hash: hash}, nil
}

func unauthenticated(message string) *types.Failure {
	return types.NewFailure(types.NotRun, types.CodeUnauthenticated, message)
}

// mayUse reports whether the credential lists the service.
func (i identity) mayUse(name types.ServiceName) bool {
	for _, allowed := range i.credential.Services {
		if allowed == name {
			return true
		}
	}
	return false
}

// service returns the published service with the given name and kind. It fails
// if the caller may not use it or if no such service is published.
func (i identity) service(name types.ServiceName, kind published.Kind, config *published.Configuration) (*published.Service, *types.Failure) {
	service, found := config.Services[name]
	if !i.mayUse(name) {
		return nil, types.NewFailure(types.NotRun, types.CodeForbidden, "the credential is not for this service")
	}
	if !found || service.Kind != kind {
		return nil, types.NewFailure(types.NotRun, types.CodeUnknownService, "no such "+string(kind)+" service is published")
	}
	return service, nil
}

// modelServices returns the published model services that the caller may use.
func (i identity) modelServices(config *published.Configuration) []*published.Service {
	services := make([]*published.Service, 0, len(i.credential.Services))
	for _, name := range i.credential.Services {
		service, found := config.Services[name]
		if found && service.Kind == published.KindModel {
			services = append(services, service)
		}
	}
	return services
}
