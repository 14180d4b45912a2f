// Package access tells what all fronts must agree on: who a client is, which plan it is on, and which class
// and units a command counts as.
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

// Client is a customer that has proved who it is.
type Client struct {
	Name, Plan string
}

// Registry holds clients and commands. It does not change after New and is safe for concurrent use.
type Registry struct {
	clients  map[string]entry
	commands map[string]*config.Command
	list     []config.Command
	throttle int
	most     int
}

type entry struct {
	client *Client
	secret [sha256.Size]byte
}

// New returns the book of a settings file.
func New(c *config.Config) *Registry {
	b := &Registry{clients: make(map[string]entry, len(c.Clients)), commands: map[string]*config.Command{}, list: c.Commands,
		throttle: c.ThrottleClass, most: c.MaxUnits()}
	for _, k := range c.Clients {
		b.clients[k.Name] = entry{&Client{k.Name, c.Plans[k.Plan].Name}, k.SecretHash}
	}
	for i := range c.Commands {
		b.commands[c.Commands[i].Name] = &c.Commands[i]
	}
	return b
}

// Login returns the client of that name if the secret is its own. The time it takes does not tell how much
// of the secret was right, nor whether there is such a client.
func (reg *Registry) Login(name, secret string) (*Client, bool) {
	e, known := reg.clients[name]
	sum := config.HashSecret(secret)
	same := subtle.ConstantTimeCompare(sum[:], e.secret[:]) == 1
	if !known || !same {
		return nil, false
	}
	return e.client, true
}

// Commands lists the commands in the order of the file.
func (reg *Registry) Commands() []config.Command { return reg.list }

// ThrottleClass is the class in which limits are asked for.
func (reg *Registry) ThrottleClass() int { return reg.throttle }

// MaxUnits is the most units of one request.
func (reg *Registry) MaxUnits() int { return reg.most }

// Invalid is a command that makes no sense. Its text is what Redis clients know, without the first word.
type Invalid string

func (e Invalid) Error() string { return string(e) }

// ParseCommand translates a command's words, the name in upper case, to the call that asks for it. The words are
// copied. An error is an Invalid; the call is then of no use. The bool is false if there is no such command.
func (reg *Registry) ParseCommand(c *Client, words [][]byte) (core.Call, bool, error) {
	m := reg.commands[string(words[0])]
	if m == nil {
		return core.Call{}, false, nil
	}
	if m.Arity > 0 && len(words) != m.Arity || m.Arity < 0 && len(words) < -m.Arity {
		return core.Call{}, true, WrongArity(words[0])
	}
	units := m.Units
	if m.UnitsIndex > 0 {
		n, err := strconv.Atoi(string(words[m.UnitsIndex]))
		if err != nil || n < 1 || n > reg.most {
			return core.Call{}, true, Invalid(fmt.Sprintf("word %d holds the units, want a whole number from 1 to %d", m.UnitsIndex, reg.most))
		}
		units = n
	}
	call := core.Call{Customer: c.Name, Plan: c.Plan, Class: m.Class, Units: float64(units), Payload: resp.AppendArgs(nil, words)}
	if m.KeyIndex > 0 {
		if call.Key = string(words[m.KeyIndex]); call.Key == "" {
			return core.Call{}, true, Invalid("the submission key is empty, want a name that is new for each submission")
		}
	}
	return call, true, nil
}

// WrongArity is the error of a command with too few or too many words.
func WrongArity(name []byte) Invalid {
	return Invalid("wrong number of arguments for '" + strings.ToLower(string(name[:min(len(name), 64)])) + "' command")
}

// LimitCall is the call that asks for units alone.
func (reg *Registry) LimitCall(c *Client, class int, units float64) core.Call {
	return core.Call{Customer: c.Name, Plan: c.Plan, Class: class, Units: units, QuotaOnly: true}
}

// Lookup returns a client that another party vouches for: a gateway that asks on its behalf, or its
// certificate.
func (reg *Registry) Lookup(name string) (*Client, bool) {
	e, ok := reg.clients[name]
	return e.client, ok
}
