package front

import (
	"strconv"
	"strings"

	"cometpond/internal/access"
	"cometpond/internal/resp"
)

// handleThrottle handles CL.THROTTLE key max_burst count_per_period period [quantity], which takes units of the client's quota
// without a request to a server.
func (conn *clientConn) handleThrottle(args [][]byte) {
	if len(args) != 5 && len(args) != 6 {
		conn.replyArityError(args[0])
		return
	}
	quantity := int64(1)
	for i, minimum := range []int64{0, 1, 1, 0} {
		if i+2 == len(args) {
			break
		}
		n, err := strconv.ParseInt(string(args[i+2]), 10, 64)
		if err != nil || n < minimum {
			name := []string{"max_burst", "count_per_period", "period", "quantity"}[i]
			conn.replyError("ERR " + name + " is no whole number of " + strconv.FormatInt(minimum, 10) + " or more")
			return
		}
		quantity = n
	}
	if len(args) == 5 {
		quantity = 1
	}
	if maxUnits := conn.loop.server.options.Registry.MaxUnits(); quantity > int64(maxUnits) {
		conn.replyError("ERR quantity is above " + strconv.Itoa(maxUnits) + ", the most of one request")
		return
	}
	registry := conn.loop.server.options.Registry
	conn.enqueueCall(registry.LimitCall(conn.client, registry.ThrottleClass(), float64(quantity)))
}

// noAuthError is the reply to commands that need a login.
const noAuthError = "NOAUTH Authentication required."

// handleCommand handles one command. Those about the connection itself are handled here, all others are submitted to the core.
func (conn *clientConn) handleCommand(args [][]byte) {
	name := upperCase(args[0])
	switch string(name) { // allowed before login
	case "HELLO":
		conn.handleHello(args)
		return
	case "AUTH":
		conn.handleAuth(args)
		return
	case "QUIT":
		conn.closing = true
		conn.replyWith(appendOK)
		return
	case "RESET":
		conn.client, conn.name, conn.respVersion = nil, "", 2
		conn.replyWith(func(b []byte) []byte { return resp.AppendSimple(b, "RESET") })
		return
	}
	if conn.client == nil {
		conn.replyError(noAuthError)
		return
	}
	if string(name) == "CL.THROTTLE" {
		conn.handleThrottle(args)
		return
	}
	if call, known, err := conn.loop.server.options.Registry.ParseCommand(conn.client, args); err != nil {
		conn.replyError("ERR " + err.Error())
		return
	} else if known {
		conn.enqueueCall(call)
		return
	}
	switch string(name) {
	case "PING":
		switch len(args) {
		case 1:
			conn.replyWith(func(b []byte) []byte { return append(b, "+PONG\r\n"...) })
		case 2:
			conn.replyBulk(args[1])
		default:
			conn.replyArityError(args[0])
		}
	case "ECHO":
		if len(args) != 2 {
			conn.replyArityError(args[0])
			return
		}
		conn.replyBulk(args[1])
	case "SELECT":
		switch {
		case len(args) != 2:
			conn.replyArityError(args[0])
		case string(args[1]) != "0":
			conn.replyError("ERR DB index is out of range")
		default:
			conn.replyWith(appendOK)
		}
	case "CLIENT":
		conn.handleClient(args)
	case "COMMAND":
		conn.handleCommandInfo(args)
	case "INFO":
		text := ""
		if conn.loop.server.options.Info != nil {
			text = conn.loop.server.options.Info()
		}
		conn.replyBulk([]byte(text))
	default:
		var quoted strings.Builder
		for _, arg := range args[1:min(len(args), 5)] {
			quoted.WriteString("'" + truncate(arg) + "' ")
		}
		conn.replyError("ERR unknown command '" + truncate(args[0]) + "', with args beginning with: " + quoted.String())
	}
}

// appendOK appends the reply OK.
func appendOK(b []byte) []byte { return append(b, "+OK\r\n"...) }

// replyBulk replies with a bulk string.
func (conn *clientConn) replyBulk(s []byte) {
	text := string(s) // a copy, as s points into the input buffer
	conn.replyWith(func(b []byte) []byte { return resp.AppendBulk(b, text) })
}

// replyArityError replies that a command has the wrong number of arguments.
func (conn *clientConn) replyArityError(name []byte) {
	conn.replyError("ERR " + access.WrongArity(name).Error())
}

// truncate returns as much of an argument as error messages quote.
func truncate(b []byte) string {
	if len(b) > 64 {
		b = b[:64]
	}
	return string(b)
}

// upperCase converts ASCII letters to upper case, in place.
func upperCase(b []byte) []byte {
	for i, c := range b {
		if c >= 'a' && c <= 'z' {
			b[i] = c - 'a' + 'A'
		}
	}
	return b
}

// equalFold reports whether b equals word, ignoring case.
func equalFold(b []byte, word string) bool { return strings.EqualFold(string(b), word) }

// login checks a name and a secret. If they are wrong it replies with an error and returns false.
func (conn *clientConn) login(name, secret []byte) bool {
	client, ok := conn.loop.server.options.Registry.Login(string(name), string(secret))
	if !ok {
		conn.loop.server.loginsDenied.Add(1)
		conn.replyError("WRONGPASS invalid username-password pair or user is disabled.")
		return false
	}
	conn.client = client
	return true
}

// handleAuth handles AUTH.
func (conn *clientConn) handleAuth(args [][]byte) {
	switch len(args) {
	case 2: // a password alone stands for the default user of Redis, which does not exist here
		conn.replyError("WRONGPASS invalid username-password pair or user is disabled.")
	case 3:
		if conn.login(args[1], args[2]) {
			conn.replyWith(appendOK)
		}
	default:
		conn.replyArityError(args[0])
	}
}

// handleHello handles HELLO.
func (conn *clientConn) handleHello(args [][]byte) {
	version, name := conn.respVersion, conn.name
	rest := args[1:]
	if len(rest) > 0 {
		v, err := strconv.Atoi(string(rest[0]))
		if err != nil {
			conn.replyError("ERR Protocol version is not an integer or out of range")
			return
		} else if v != 2 && v != 3 {
			conn.replyError("NOPROTO unsupported protocol version")
			return
		}
		version, rest = v, rest[1:]
	}
	var user, secret []byte
	for len(rest) > 0 {
		switch {
		case equalFold(rest[0], "AUTH") && len(rest) >= 3:
			user, secret, rest = rest[1], rest[2], rest[3:]
		case equalFold(rest[0], "SETNAME") && len(rest) >= 2:
			if !validClientName(rest[1]) {
				conn.replyError("ERR Client names cannot contain spaces, newlines or special characters.")
				return
			}
			name, rest = string(rest[1]), rest[2:]
		default:
			conn.replyError("ERR Syntax error in HELLO option '" + truncate(rest[0]) + "'")
			return
		}
	}
	if user != nil && !conn.login(user, secret) {
		return
	}
	if conn.client == nil {
		conn.replyError("NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH " +
			"<user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time")
		return
	}
	conn.respVersion, conn.name = version, name
	conn.replyWith(func(b []byte) []byte {
		b = resp.AppendMapHeader(b, version, 7)
		b = resp.AppendBulk(resp.AppendBulk(b, "server"), "cometpond")
		b = resp.AppendBulk(resp.AppendBulk(b, "version"), "1.0.0")
		b = resp.AppendInt(resp.AppendBulk(b, "proto"), int64(version))
		b = resp.AppendInt(resp.AppendBulk(b, "id"), int64(conn.id))
		b = resp.AppendBulk(resp.AppendBulk(b, "mode"), "standalone")
		b = resp.AppendBulk(resp.AppendBulk(b, "role"), "master")
		return resp.AppendArrayHeader(resp.AppendBulk(b, "modules"), 0)
	})
}

// validClientName reports whether a client name consists of printable ASCII characters without spaces and is not too long.
func validClientName(b []byte) bool {
	for _, c := range b {
		if c < '!' || c > '~' {
			return false
		}
	}
	return len(b) <= 256
}

// handleClient handles CLIENT.
func (conn *clientConn) handleClient(args [][]byte) {
	if len(args) < 2 {
		conn.replyArityError(args[0])
		return
	}
	switch {
	case equalFold(args[1], "SETNAME") && len(args) == 3:
		if !validClientName(args[2]) {
			conn.replyError("ERR Client names cannot contain spaces, newlines or special characters.")
			return
		}
		conn.name = string(args[2])
		conn.replyWith(appendOK)
	case equalFold(args[1], "SETINFO") && len(args) == 4:
		if !equalFold(args[2], "LIB-NAME") && !equalFold(args[2], "LIB-VER") {
			conn.replyError("ERR Unrecognized option '" + truncate(args[2]) + "'")
			return
		}
		conn.replyWith(appendOK)
	case equalFold(args[1], "ID") && len(args) == 2:
		conn.replyWith(func(b []byte) []byte { return resp.AppendInt(b, int64(conn.id)) })
	case equalFold(args[1], "GETNAME") && len(args) == 2:
		name := conn.name
		if name == "" {
			conn.replyWith(func(b []byte) []byte { return resp.AppendNull(b, conn.respVersion) })
			return
		}
		conn.replyWith(func(b []byte) []byte { return resp.AppendBulk(b, name) })
	default:
		conn.replyError("ERR unknown subcommand or wrong number of arguments for '" + truncate(args[1]) +
			"'. Try CLIENT SETNAME, SETINFO, ID or GETNAME.")
	}
}

// ownCommands lists the commands that the front handles itself, with the arity that COMMAND reports.
var ownCommands = []struct {
	name  string
	arity int
}{{"auth", -2}, {"hello", -1}, {"ping", -1}, {"echo", 2}, {"select", 2}, {"client", -2}, {"command", -1}, {"info", -1},
	{"reset", 1}, {"quit", -1}, {"cl.throttle", -5}}

// handleCommandInfo handles COMMAND.
func (conn *clientConn) handleCommandInfo(args [][]byte) {
	commands := conn.loop.server.options.Registry.Commands()
	switch {
	case len(args) == 1:
		conn.replyWith(func(b []byte) []byte {
			b = resp.AppendArrayHeader(b, len(ownCommands)+len(commands))
			for _, command := range ownCommands {
				b = appendCommandInfo(b, command.name, command.arity)
			}
			for _, command := range commands {
				b = appendCommandInfo(b, strings.ToLower(command.Name), command.Arity)
			}
			return b
		})
	case equalFold(args[1], "COUNT") && len(args) == 2:
		conn.replyWith(func(b []byte) []byte { return resp.AppendInt(b, int64(len(ownCommands)+len(commands))) })
	case equalFold(args[1], "DOCS"):
		conn.replyWith(func(b []byte) []byte { return resp.AppendMapHeader(b, conn.respVersion, 0) })
	default:
		conn.replyError("ERR unknown subcommand '" + truncate(args[1]) + "'. Try COMMAND, COMMAND COUNT or COMMAND DOCS.")
	}
}

// appendCommandInfo appends the entry of one command in the reply to COMMAND.
func appendCommandInfo(b []byte, name string, arity int) []byte {
	b = resp.AppendBulk(resp.AppendArrayHeader(b, 6), name)
	b = resp.AppendArrayHeader(resp.AppendInt(b, int64(arity)), 0)
	for range 3 { // first key, last key and step: there are none
		b = resp.AppendInt(b, 0)
	}
	return b
}
