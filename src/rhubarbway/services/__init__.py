"""Kernel services of both kinds of entry hosts, query hosts and gateways.

They own the threads, and connect the logic in ``decisions`` to the messages and connections in
``edge``. A *task* is a function that runs in a thread of its own, from the executor of its service
or, for a connection of a caller, from that of the HTTP server.

``caller_memory``, ``latency_tally``, ``log``, ``metrics``, ``names`` and ``process_memory`` serve
both kinds of hosts.

- Query hosts: ``backends``, ``crash_gossip``, ``crashes``, ``drain_gossip``,
  ``extra_attempt_limits``, ``fan_out``, ``frontend``, ``gossip_section``, ``host_survey``,
  ``inbox``, ``manifest``, ``manifest_exchange``, ``pause_gate``, ``peer_connections``,
  ``peer_link``, ``peers``, ``platform``, ``queries``, ``replica_pool``, ``shard_pools``,
  ``slices``, ``tokens``.
- Gateways: ``caller_inbox``, ``copy_eras``, ``crashing_requests``, ``fleet``, ``forwarding``,
  ``forwarding_context``, ``gateway``, ``gateway_status``, ``invariants``, ``metrics_endpoint``,
  ``registry``, ``request_forwarder``, ``route_latencies``, ``routing``, ``send_checks``,
  ``server_pool``, ``servers``, ``settings_reload``, ``shard_progress``, ``shared_retry_budget``,
  ``store_reader``, ``wake_event``.
"""
