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
	clients       map[string]clientEntry     // by name
	commands      map[string]*config.Command // by name in upper case
	commandList   []config.Command           // in the order of the file
	throttleClass int                        // class of requests for units alone
	maxUnits      int                        // maximum units of a request
}

// clientEntry is a client with the hash of its secret.
type clientEntry struct {
	client *Client
	secret [sha256.Size]byte
}

// New returns the clients and commands of a configuration.
func New(cfg *config.Config) *Registry {
	reg := &Registry{clients: make(map[string]clientEntry, len(cfg.Clients)), commands: map[string]*config.Command{},
		commandList: cfg.Commands, throttleClass: cfg.ThrottleClass, maxUnits: cfg.MaxUnits()}
	for _, client := range cfg.Clients {
		reg.clients[client.Name] = clientEntry{&Client{client.Name, cfg.Plans[client.Plan].Name}, client.SecretHash}
	}
	for i := range cfg.Commands {
		reg.commands[cfg.Commands[i].Name] = &cfg.Commands[i]
	}
	return reg
}

// Login returns the client with the given name if the secret is correct. Its duration reveals neither how much of the secret
// was correct nor whether the client exists.
func (reg *Registry) Login(name, secret string) (*Client, bool) {
	entry, known := reg.clients[name]
	sum := config.HashSecret(secret)
	same := subtle.ConstantTimeCompare(sum[:], entry.secret[:]) == 1
	if !known || !same {
		return nil, false
	}
	return entry.client, true
}

// Commands returns the commands in the order of the file.
func (reg *Registry) Commands() []config.Command { return reg.commandList }

// ThrottleClass returns the class of requests for units alone.
func (reg *Registry) ThrottleClass() int { return reg.throttleClass }

// MaxUnits returns the maximum number of units of one request.
func (reg *Registry) MaxUnits() int { return reg.maxUnits }

// InvalidCommandError is the error of a malformed command. Its text is meant for Redis clients, without the error code in front.
type InvalidCommandError string

// Error returns the text for the client.
func (e InvalidCommandError) Error() string { return string(e) }

// ParseCommand returns the call that requests a command. args are the name, in upper case, and the arguments; they are copied.
// The bool reports whether the command exists. Errors are of type InvalidCommandError; the call is then not valid.
func (reg *Registry) ParseCommand(client *Client, args [][]byte) (core.Call, bool, error) {
	command := reg.commands[string(args[0])]
	if command == nil {
		return core.Call{}, false, nil
	}
	if command.Arity > 0 && len(args) != command.Arity || command.Arity < 0 && len(args) < -command.Arity {
		return core.Call{}, true, WrongArity(args[0])
	}
	units := command.Units
	if command.UnitsIndex > 0 {
		n, err := strconv.Atoi(string(args[command.UnitsIndex]))
		if err != nil || n < 1 || n > reg.maxUnits {
			return core.Call{}, true, InvalidCommandError(fmt.Sprintf("word %d holds the units, want a whole number from 1 to %d",
				command.UnitsIndex, reg.maxUnits))
		}
		units = n
	}
	call := core.Call{Customer: client.Name, Plan: client.Plan, Class: command.Class, Units: float64(units),
		Payload: resp.AppendArgs(nil, args)}
	if command.KeyIndex > 0 {
		if call.Key = string(args[command.KeyIndex]); call.Key == "" {
			return core.Call{}, true, InvalidCommandError("the submission key is empty, want a name that is new for each submission")
		}
	}
	return call, true, nil
}

// WrongArity returns the error for a command with too few or too many arguments.
func WrongArity(name []byte) InvalidCommandError {
	return InvalidCommandError("wrong number of arguments for '" + strings.ToLower(string(name[:min(len(name), 64)])) + "' command")
}

// LimitCall returns a call that requests units of the client's quota alone, without a request to a server.
func (reg *Registry) LimitCall(client *Client, class int, units float64) core.Call {
	return core.Call{Customer: client.Name, Plan: client.Plan, Class: class, Units: units, QuotaOnly: true}
}

// Lookup returns the client with the given name without checking a secret. It is for clients that are authenticated by other
// means: by a gateway that asks on their behalf, or by a certificate.
func (reg *Registry) Lookup(name string) (*Client, bool) {
	entry, ok := reg.clients[name]
	return entry.client, ok
}
