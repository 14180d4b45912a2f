package rpc

import (
	"context"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"

	"cometpond/internal/access"
	"cometpond/internal/config"
)

// authenticate returns the client that makes an RPC: the one named by the common name of its verified
// certificate, or else by authorization: Basic. A certificate that names no known client is refused even if
// valid Basic credentials come with it.
func (srv *Server) authenticate(ctx context.Context) (*access.Client, bool) {
	client, ok := srv.findClient(ctx)
	if !ok {
		srv.deniedCalls.Add(1)
	}
	return client, ok
}

// findClient looks up the client by certificate or, without one, by Basic credentials.
func (srv *Server) findClient(ctx context.Context) (*access.Client, bool) {
	if name, ok := certificateName(ctx); ok {
		return srv.options.Book.Lookup(name)
	}
	name, secret, ok := basicCredentials(ctx)
	if !ok {
		return nil, false
	}
	return srv.options.Book.Login(name, secret)
}

// certificateName returns the common name of the caller's verified certificate.
func certificateName(ctx context.Context) (string, bool) {
	caller, ok := peer.FromContext(ctx)
	if !ok {
		return "", false
	}
	tlsInfo, ok := caller.AuthInfo.(credentials.TLSInfo)
	if !ok || len(tlsInfo.State.VerifiedChains) == 0 {
		return "", false
	}
	return tlsInfo.State.VerifiedChains[0][0].Subject.CommonName, true
}

// basicCredentials returns the name and secret from authorization: Basic.
func basicCredentials(ctx context.Context) (name, secret string, ok bool) {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get("authorization")
	if len(values) != 1 {
		return "", "", false
	}
	encoded, ok := strings.CutPrefix(values[0], "Basic ")
	if !ok {
		return "", "", false
	}
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", "", false
	}
	return strings.Cut(string(raw), ":")
}

// authenticateDomain returns the settings of a rate limit domain if the caller may use it: authorization: Basic
// must hold the domain's name and secret.
func (srv *Server) authenticateDomain(ctx context.Context, name string) (*config.Domain, bool) {
	user, secret, ok := basicCredentials(ctx)
	secretHash := config.HashSecret(secret)
	for i := range srv.options.Domains {
		domain := &srv.options.Domains[i]
		if domain.Name == name && ok && user == name && subtle.ConstantTimeCompare(secretHash[:], domain.SecretHash[:]) == 1 {
			return domain, true
		}
	}
	srv.deniedCalls.Add(1)
	return nil, false
}
