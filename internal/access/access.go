// Package access is the part of the configuration that all protocols for clients share: which clients there are, their
// plans, and the class and units of each command.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"strconv"
	"strings"

	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/resp"
)

// Client is an authenticated customer.
type Client struct {
	Name, Plan string
}

// Registry holds the clients and commands of a configuration. It is immutable and safe for concurrent use.
type Registry struct {
	clients  map[string]entry           // by name
	commands map[string]*config.Command // by name in upper case
	list     []config.Command           // in the order of the file
	throttle int                        // class of requests for units alone
	most     int                        // maximum units of a request
}

// entry is a client with the hash of its secret.
type entry struct {
	client *Client
	secret [sha256.Size]byte
}

// New returns the clients and commands of a configuration.
func New(c *config.Config) *Registry {
	b := &Registry{clients: make(map[string]entry, len(c.Clients)), commands: map[string]*config.Command{}, list: c.Commands,
		throttle: c.Throttle, most: c.MostUnits()}
	for _, k := range c.Clients {
		b.clients[k.Name] = entry{&Client{k.Name, c.Plans[k.Plan].Name}, k.Secret}
	}
	for i := range c.Commands {
		b.commands[c.Commands[i].Name] = &c.Commands[i]
	}
	return b
}

// Login returns the client with the given name if the secret is correct. Its duration reveals neither how much of the secret
// was correct nor whether the client exists.
func (reg *Registry) Login(name, secret string) (*Client, bool) {
	e, known := reg.clients[name]
	sum := config.HashSecret(secret)
	same := subtle.ConstantTimeCompare(sum[:], e.secret[:]) == 1
	if !known || !same {
		return nil, false
	}
	return e.client, true
}

// Commands returns the commands in the order of the file.
func (reg *Registry) Commands() []config.Command { return reg.list }

// ThrottleClass returns the class of requests for units alone.
func (reg *Registry) ThrottleClass() int { return reg.throttle }

// MaxUnits returns the maximum number of units of one request.
func (reg *Registry) MaxUnits() int { return reg.most }

// Invalid is the error of a malformed command. Its text is the one that Redis uses, without the error code in front.
type Invalid string

// Error returns the text for the client.
func (e Invalid) Error() string { return string(e) }

// ParseCommand returns the call that requests a command. words are the name, in upper case, and the arguments; they are copied. The
// bool reports whether the command exists. Errors are of type Invalid; the call is then not valid.
func (reg *Registry) ParseCommand(c *Client, words [][]byte) (core.Call, bool, error) {
	m := reg.commands[string(words[0])]
	if m == nil {
		return core.Call{}, false, nil
	}
	if m.Arity > 0 && len(words) != m.Arity || m.Arity < 0 && len(words) < -m.Arity {
		return core.Call{}, true, WrongArity(words[0])
	}
	units := m.Units
	if m.UnitsAt > 0 {
		n, err := strconv.Atoi(string(words[m.UnitsAt]))
		if err != nil || n < 1 || n > reg.most {
			return core.Call{}, true, Invalid(fmt.Sprintf("word %d holds the units, want a whole number from 1 to %d", m.UnitsAt, reg.most))
		}
		units = n
	}
	call := core.Call{Client: c.Name, Plan: c.Plan, Class: m.Class, Units: float64(units), Payload: resp.AppendArgs(nil, words)}
	if m.KeyAt > 0 {
		if call.Key = string(words[m.KeyAt]); call.Key == "" {
			return core.Call{}, true, Invalid("the submission key is empty, want a name that is new for each submission")
		}
	}
	return call, true, nil
}

// WrongArity returns the error for a command with too few or too many arguments.
func WrongArity(name []byte) Invalid {
	return Invalid("wrong number of arguments for '" + strings.ToLower(string(name[:min(len(name), 64)])) + "' command")
}

// LimitCall returns a call that requests units of the client's quota alone, without a request to a server.
func (reg *Registry) LimitCall(c *Client, class int, units float64) core.Call {
	return core.Call{Client: c.Name, Plan: c.Plan, Class: class, Units: units, Limit: true}
}

// Lookup returns the client with the given name without checking a secret. It is for clients that are authenticated by other
// means: by a gateway that asks on their behalf, or by a certificate.
func (reg *Registry) Lookup(name string) (*Client, bool) {
	e, ok := reg.clients[name]
	return e.client, ok
}
