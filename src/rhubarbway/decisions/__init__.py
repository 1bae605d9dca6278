"""Decision logic over model classes; time is a parameter, codecs, sockets and HTTP are not used.

The modules serve two kinds of entry hosts. ``byte_budget``, ``config_readers``, ``host_limits``,
``latency``, ``rendezvous`` and ``slow_readers`` serve both.

- Query hosts read a manifest from the configuration service and query the replicas of the shards of
  one service: ``admission``, ``concurrency_limit``, ``coverage``, ``crash_suspects``, ``draining``,
  ``hedging``, ``host_list_view``, ``job_names``, ``manifest_versions``, ``membership``,
  ``merging``, ``neighbours``, ``outbox``, ``replica_choice``, ``replica_state``, ``retry``,
  ``retry_budget``, ``slices``, ``snapshots``, ``tokens``.
- Gateways read the platform's store and forward HTTP requests to servers; each shard of a route is
  a service of its own: ``answer_margin``, ``attempt_timing``, ``crash_blocks``, ``crash_guard``,
  ``deferred_deletions``, ``evacuation``, ``fleet_view``, ``forward_answers``, ``preconnect``,
  ``records``, ``replica_ranking``, ``restored_items``, ``route_choice``, ``sent_attempts``,
  ``server_state``, ``shard_shedding``, ``sliding_window_budget``, ``slowness_reports``,
  ``store_copy``.
"""
