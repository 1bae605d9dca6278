"""Tests of the selection of neighbours."""

import pytest

from rhubarbway.decisions.neighbours import (
    LONG_RANGE_LINKS,
    MAX_FULL_MESH_HOSTS,
    RING_SUCCESSORS,
    select_neighbours,
)


def hops_to_reach_all(names):
    links = {name: select_neighbours(name, names) for name in names}
    reached = {names[0]}
    hops = 0
    while len(reached) < len(names):
        grown = reached | {other for name in reached for other in links[name]}
        assert grown != reached, "some hosts are never reached"
        reached = grown
        hops += 1
    return hops


class TestNeighbours:
    @pytest.mark.parametrize("count", [1, 2, 9, 13])
    def test_small_fleet_is_a_full_mesh(self, count):
        """Guards against a small fleet in which updates need several gossip rounds."""
        names = [f"e{number}" for number in range(count)]
        assert select_neighbours("e0", names) == sorted(names[1:])

    @pytest.mark.parametrize("count", [14, 100, 400])
    def test_larger_fleet_has_a_fixed_number_of_links_and_few_hops(self, count):
        """Guards against a host that no update reaches, and links that grow with the fleet."""
        names = [f"e{number}" for number in range(count)]
        for name in names:
            assert (
                len(set(select_neighbours(name, names)) - {name})
                == RING_SUCCESSORS + LONG_RANGE_LINKS
            )
        assert hops_to_reach_all(names) <= 12

    def test_fleet_of_the_size_limit_is_still_a_full_mesh(self):
        """Guards against a size limit of the full mesh that is off by one."""
        names = [f"e{number}" for number in range(MAX_FULL_MESH_HOSTS)]
        assert len(select_neighbours("e0", names)) == MAX_FULL_MESH_HOSTS - 1
