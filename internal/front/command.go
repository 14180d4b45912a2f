package front

import (
	"strconv"
	"strings"

	"cometpond/internal/access"
	"cometpond/internal/resp"
)

// throttle asks for units alone: CL.THROTTLE key max_burst count_per_period period [quantity].
func (k *conn) throttle(args [][]byte) {
	if len(args) != 5 && len(args) != 6 {
		k.arity(args[0])
		return
	}
	quantity := int64(1)
	for i, least := range []int64{0, 1, 1, 0} {
		if i+2 == len(args) {
			break
		}
		n, err := strconv.ParseInt(string(args[i+2]), 10, 64)
		if err != nil || n < least {
			name := []string{"max_burst", "count_per_period", "period", "quantity"}[i]
			k.fail("ERR " + name + " is no whole number of " + strconv.FormatInt(least, 10) + " or more")
			return
		}
		quantity = n
	}
	if len(args) == 5 {
		quantity = 1
	}
	if most := k.loop.s.opt.Registry.MaxUnits(); quantity > int64(most) {
		k.fail("ERR quantity is above " + strconv.Itoa(most) + ", the most of one request")
		return
	}
	book := k.loop.s.opt.Registry
	k.ask(book.LimitCall(k.client, book.ThrottleClass(), float64(quantity)))
}

const noAuth = "NOAUTH Authentication required."

// command carries out one command: those of the connection itself here, all others by a ruling.
func (k *conn) command(args [][]byte) {
	name := upper(args[0])
	switch string(name) { // before a client has said who it is
	case "HELLO":
		k.hello(args)
		return
	case "AUTH":
		k.auth(args)
		return
	case "QUIT":
		k.quit = true
		k.say(ok)
		return
	case "RESET":
		k.client, k.name, k.version = nil, "", 2
		k.say(func(b []byte) []byte { return resp.AppendSimple(b, "RESET") })
		return
	}
	if k.client == nil {
		k.fail(noAuth)
		return
	}
	if string(name) == "CL.THROTTLE" {
		k.throttle(args)
		return
	}
	if call, known, err := k.loop.s.opt.Registry.ParseCommand(k.client, args); err != nil {
		k.fail("ERR " + err.Error())
		return
	} else if known {
		k.ask(call)
		return
	}
	switch string(name) {
	case "PING":
		switch len(args) {
		case 1:
			k.say(func(b []byte) []byte { return append(b, "+PONG\r\n"...) })
		case 2:
			k.bulk(args[1])
		default:
			k.arity(args[0])
		}
	case "ECHO":
		if len(args) != 2 {
			k.arity(args[0])
			return
		}
		k.bulk(args[1])
	case "SELECT":
		switch {
		case len(args) != 2:
			k.arity(args[0])
		case string(args[1]) != "0":
			k.fail("ERR DB index is out of range")
		default:
			k.say(ok)
		}
	case "CLIENT":
		k.clientCommand(args)
	case "COMMAND":
		k.commands(args)
	case "INFO":
		text := ""
		if k.loop.s.opt.Info != nil {
			text = k.loop.s.opt.Info()
		}
		k.bulk([]byte(text))
	default:
		var with strings.Builder
		for _, a := range args[1:min(len(args), 5)] {
			with.WriteString("'" + clip(a) + "' ")
		}
		k.fail("ERR unknown command '" + clip(args[0]) + "', with args beginning with: " + with.String())
	}
}

func ok(b []byte) []byte { return append(b, "+OK\r\n"...) }

func (k *conn) bulk(s []byte) {
	text := string(s) // the bytes of the connection's buffer do not last
	k.say(func(b []byte) []byte { return resp.AppendBulk(b, text) })
}

func (k *conn) arity(name []byte) {
	k.fail("ERR " + access.WrongArity(name).Error())
}

// clip is as much of a word as an error repeats.
func clip(b []byte) string {
	if len(b) > 64 {
		b = b[:64]
	}
	return string(b)
}

// upper turns a short name to upper case in place, where it stands in the connection's buffer.
func upper(b []byte) []byte {
	for i, c := range b {
		if c >= 'a' && c <= 'z' {
			b[i] = c - 'a' + 'A'
		}
	}
	return b
}

func is(b []byte, word string) bool { return strings.EqualFold(string(b), word) }

// login takes a name and a secret; false after it has answered that they are wrong.
func (k *conn) login(name, secret []byte) bool {
	c, ok := k.loop.s.opt.Registry.Login(string(name), string(secret))
	if !ok {
		k.loop.s.denied.Add(1)
		k.fail("WRONGPASS invalid username-password pair or user is disabled.")
		return false
	}
	k.client = c
	return true
}

func (k *conn) auth(args [][]byte) {
	switch len(args) {
	case 2: // the password alone is Redis's default user, whom there is none of
		k.fail("WRONGPASS invalid username-password pair or user is disabled.")
	case 3:
		if k.login(args[1], args[2]) {
			k.say(ok)
		}
	default:
		k.arity(args[0])
	}
}

func (k *conn) hello(args [][]byte) {
	version, name := k.version, k.name
	rest := args[1:]
	if len(rest) > 0 {
		v, err := strconv.Atoi(string(rest[0]))
		if err != nil {
			k.fail("ERR Protocol version is not an integer or out of range")
			return
		} else if v != 2 && v != 3 {
			k.fail("NOPROTO unsupported protocol version")
			return
		}
		version, rest = v, rest[1:]
	}
	var user, secret []byte
	for len(rest) > 0 {
		switch {
		case is(rest[0], "AUTH") && len(rest) >= 3:
			user, secret, rest = rest[1], rest[2], rest[3:]
		case is(rest[0], "SETNAME") && len(rest) >= 2:
			if !plain(rest[1]) {
				k.fail("ERR Client names cannot contain spaces, newlines or special characters.")
				return
			}
			name, rest = string(rest[1]), rest[2:]
		default:
			k.fail("ERR Syntax error in HELLO option '" + clip(rest[0]) + "'")
			return
		}
	}
	if user != nil && !k.login(user, secret) {
		return
	}
	if k.client == nil {
		k.fail("NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH " +
			"<user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time")
		return
	}
	k.version, k.name = version, name
	k.say(func(b []byte) []byte {
		b = resp.AppendMapHeader(b, version, 7)
		b = resp.AppendBulk(resp.AppendBulk(b, "server"), "cometpond")
		b = resp.AppendBulk(resp.AppendBulk(b, "version"), "1.0.0")
		b = resp.AppendInt(resp.AppendBulk(b, "proto"), int64(version))
		b = resp.AppendInt(resp.AppendBulk(b, "id"), int64(k.id))
		b = resp.AppendBulk(resp.AppendBulk(b, "mode"), "standalone")
		b = resp.AppendBulk(resp.AppendBulk(b, "role"), "master")
		return resp.AppendArrayHeader(resp.AppendBulk(b, "modules"), 0)
	})
}

// plain tells whether a name holds printable characters alone, and no spaces.
func plain(b []byte) bool {
	for _, c := range b {
		if c < '!' || c > '~' {
			return false
		}
	}
	return len(b) <= 256
}

func (k *conn) clientCommand(args [][]byte) {
	if len(args) < 2 {
		k.arity(args[0])
		return
	}
	switch {
	case is(args[1], "SETNAME") && len(args) == 3:
		if !plain(args[2]) {
			k.fail("ERR Client names cannot contain spaces, newlines or special characters.")
			return
		}
		k.name = string(args[2])
		k.say(ok)
	case is(args[1], "SETINFO") && len(args) == 4:
		if !is(args[2], "LIB-NAME") && !is(args[2], "LIB-VER") {
			k.fail("ERR Unrecognized option '" + clip(args[2]) + "'")
			return
		}
		k.say(ok)
	case is(args[1], "ID") && len(args) == 2:
		k.say(func(b []byte) []byte { return resp.AppendInt(b, int64(k.id)) })
	case is(args[1], "GETNAME") && len(args) == 2:
		name := k.name
		if name == "" {
			k.say(func(b []byte) []byte { return resp.AppendNull(b, k.version) })
			return
		}
		k.say(func(b []byte) []byte { return resp.AppendBulk(b, name) })
	default:
		k.fail("ERR unknown subcommand or wrong number of arguments for '" + clip(args[1]) + "'. Try CLIENT SETNAME, SETINFO, ID or GETNAME.")
	}
}

// own are the commands of the connection itself, with the arity that COMMAND tells.
var own = []struct {
	name  string
	arity int
}{{"auth", -2}, {"hello", -1}, {"ping", -1}, {"echo", 2}, {"select", 2}, {"client", -2}, {"command", -1}, {"info", -1},
	{"reset", 1}, {"quit", -1}, {"cl.throttle", -5}}

func (k *conn) commands(args [][]byte) {
	list := k.loop.s.opt.Registry.Commands()
	switch {
	case len(args) == 1:
		k.say(func(b []byte) []byte {
			b = resp.AppendArrayHeader(b, len(own)+len(list))
			for _, c := range own {
				b = appendCommandInfo(b, c.name, c.arity)
			}
			for _, c := range list {
				b = appendCommandInfo(b, strings.ToLower(c.Name), c.Arity)
			}
			return b
		})
	case is(args[1], "COUNT") && len(args) == 2:
		k.say(func(b []byte) []byte { return resp.AppendInt(b, int64(len(own)+len(list))) })
	case is(args[1], "DOCS"):
		k.say(func(b []byte) []byte { return resp.AppendMapHeader(b, k.version, 0) })
	default:
		k.fail("ERR unknown subcommand '" + clip(args[1]) + "'. Try COMMAND, COMMAND COUNT or COMMAND DOCS.")
	}
}

func appendCommandInfo(b []byte, name string, arity int) []byte {
	b = resp.AppendBulk(resp.AppendArrayHeader(b, 6), name)
	b = resp.AppendArrayHeader(resp.AppendInt(b, int64(arity)), 0)
	for range 3 { // first key, last key, step: none
		b = resp.AppendInt(b, 0)
	}
	return b
}
