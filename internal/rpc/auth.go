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

// client tells which customer an rpc comes from: by its verified certificate's common name, else by
// authorization: Basic. Credentials that are no good are not made up for by the other kind.
func (s *Server) client(ctx context.Context) (*access.Client, bool) {
	c, ok := s.identify(ctx)
	if !ok {
		s.denied.Add(1)
	}
	return c, ok
}

func (s *Server) identify(ctx context.Context) (*access.Client, bool) {
	if name, ok := certificate(ctx); ok {
		return s.opt.Book.Lookup(name)
	}
	name, secret, ok := basic(ctx)
	if !ok {
		return nil, false
	}
	return s.opt.Book.Login(name, secret)
}

// certificate is the common name of the verified certificate of the caller.
func certificate(ctx context.Context) (string, bool) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", false
	}
	t, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(t.State.VerifiedChains) == 0 {
		return "", false
	}
	return t.State.VerifiedChains[0][0].Subject.CommonName, true
}

// basic reads the name and secret of authorization: Basic.
func basic(ctx context.Context) (name, secret string, ok bool) {
	md, _ := metadata.FromIncomingContext(ctx)
	v := md.Get("authorization")
	if len(v) != 1 {
		return "", "", false
	}
	code, ok := strings.CutPrefix(v[0], "Basic ")
	if !ok {
		return "", "", false
	}
	raw, err := base64.StdEncoding.DecodeString(code)
	if err != nil {
		return "", "", false
	}
	return strings.Cut(string(raw), ":")
}

// domain returns the settings of a rate limit domain if the caller may ask in it: the domain's secret stands
// in authorization: Basic, with the domain's name.
func (s *Server) domain(ctx context.Context, name string) (*config.Domain, bool) {
	user, secret, ok := basic(ctx)
	sum := config.HashSecret(secret)
	for i := range s.opt.Domains {
		d := &s.opt.Domains[i]
		if d.Name == name && ok && user == name && subtle.ConstantTimeCompare(sum[:], d.SecretHash[:]) == 1 {
			return d, true
		}
	}
	s.denied.Add(1)
	return nil, false
}
