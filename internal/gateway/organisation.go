package gateway

import "github.com/redwinggauge/redwinggauge/internal/api"

// authenticate finds the organisation of the caller's key. It refuses a call that needs a key and has none that is known.
func (x *exchange) authenticate() error {
	config := x.view.Config
	if !config.RequiresKeys() {
		return nil
	}
	x.organisation = config.OrganisationOfKey(x.call.Key)
	if x.organisation == nil && !x.route.Public {
		return api.Errorf(api.CodeUnauthorized, "the key is missing or not in configuration %d", config.Version)
	}
	return nil
}

// organisationName returns the name of the caller's organisation, or an empty string if there is none.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}
