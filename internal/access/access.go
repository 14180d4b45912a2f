// Package access tells what all fronts must agree on: who a client is, which plan it is on, and which class
// and units a command counts as.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"strconv"

	"cometpond/internal/config"
)

// Client is a customer that has proved who it is.
type Client struct {
	Name, Plan string
}

// Book holds clients and commands. It does not change after New and is safe for concurrent use.
type Book struct {
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
func New(c *config.Config) *Book {
	b := &Book{clients: make(map[string]entry, len(c.Clients)), commands: map[string]*config.Command{}, list: c.Commands,
		throttle: c.Throttle, most: c.MostUnits()}
	for _, k := range c.Clients {
		b.clients[k.Name] = entry{&Client{k.Name, c.Plans[k.Plan].Name}, k.Secret}
	}
	for i := range c.Commands {
		b.commands[c.Commands[i].Name] = &c.Commands[i]
	}
	return b
}

// Login returns the client of that name if the secret is its own. The time it takes does not tell how much
// of the secret was right, nor whether there is such a client.
func (b *Book) Login(name, secret string) (*Client, bool) {
	e, known := b.clients[name]
	sum := config.HashSecret(secret)
	same := subtle.ConstantTimeCompare(sum[:], e.secret[:]) == 1
	if !known || !same {
		return nil, false
	}
	return e.client, true
}

// Command returns what a command of that name (in upper case) maps to, nil if there is none.
func (b *Book) Command(name []byte) *config.Command { return b.commands[string(name)] }

// Commands lists the commands in the order of the file.
func (b *Book) Commands() []config.Command { return b.list }

// Throttle is the class in which limits are asked for.
func (b *Book) Throttle() int { return b.throttle }

// MostUnits is the most units of one request.
func (b *Book) MostUnits() int { return b.most }

// Units reads the units that a command with these words counts.
func (b *Book) Units(c *config.Command, words [][]byte) (int, error) {
	if c.UnitsAt == 0 {
		return c.Units, nil
	}
	n, err := strconv.Atoi(string(words[c.UnitsAt]))
	if err != nil || n < 1 || n > b.most {
		return 0, fmt.Errorf("word %d holds the units, want a whole number from 1 to %d", c.UnitsAt, b.most)
	}
	return n, nil
}
