; One ingress, three boxes, one client: enough to try it on one machine.
;   cometpond serve examples/one.sexp
;   cometpond box examples/one.sexp --listen 127.0.0.1:7401    (and 7402, 7403)
;   redis-cli -p 7379 --user acme --pass acme-secret JOB.STATUS 42
(ingress
  (me 0)
  (zone room-a)
  (listen "127.0.0.1:7379"))

(boxes
  (box "127.0.0.1:7401" (zone room-a))
  (box "127.0.0.1:7402" (zone room-b))
  (box "127.0.0.1:7403" (zone room-c)))

; How soon an answer is wanted, when the client gives up, what it is worth, and whether it may run again.
(classes
  (class job-status  (aim 1s)   (deadline 2.5s) (worth 3) (late-worth 0.2) (effect safe))
  (class image-fetch (aim 2.5s) (deadline 6s)   (worth 1) (late-worth 0.2) (effect safe))
  (class sign-submit (aim 3s)   (deadline 12s)  (worth 3) (effect keyed) (key-scope zone) (key-ttl 7.5s)))

; Arity counts the words with the name. Units are what one command takes from the quota.
(commands
  (command JOB.STATUS  (class job-status)  (arity 2) (units 1))
  (command IMAGE.FETCH (class image-fetch) (arity 2) (units 1))
  (command SIGN.SUBMIT (class sign-submit) (arity 3) (units 1) (key-at 1))
  (throttle (class job-status)))

(plans
  (plan starter (rate 10) (burst 20)))

; The hash is that of acme-secret, by 'cometpond secret'.
(clients
  (client acme (plan starter)
    (secret-sha256 "307c609f87da43c3d563428a4f7efdf9857f4871fd10465732c4ab11a985a08c")))

(rules
  (answer-slack 10ms)
  (cold-from 0.19) (cold 15s)
  (fall-multiple 2) (fall 1.5s))

; The gRPC front: work for the clients above, and Envoy's questions in the domain edge. The hash is that of
; edge-secret.
(grpc
  (listen "127.0.0.1:7380")
  (domain edge
    (secret-sha256 "0b863617d30f02eb2cc8e2f26787bdf34a19a06b7ab72c7da72185ed734fce13")
    (unmatched allow)
    (descriptor (customer client) (class job-status))))
