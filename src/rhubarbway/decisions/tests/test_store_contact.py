"""Tests of what calls show of the store."""

import itertools

from rhubarbway.decisions.store_contact import NEXT_CONTACT, CallEnd, StoreContact, ends_outage


class TestStoreContact:
    def test_only_a_lost_or_refused_call_on_a_new_connection_begins_an_outage(self):
        """Guards against a silent connection that counts as an outage, and an outage that does not.

        All sequences of four calls, with the rule written out in another way.
        """
        for ends in itertools.product(CallEnd, repeat=4):
            contact, lost_in_a_row, away = StoreContact.IN_DOUBT, 1, False
            for end in ends:
                assert ends_outage(contact, end) == (away and end is CallEnd.ANSWERED)
                contact = NEXT_CONTACT[contact, end]
                lost_in_a_row = 0 if end is CallEnd.ANSWERED else lost_in_a_row + 1
                away = end is CallEnd.REFUSED or lost_in_a_row > 1 or (away and lost_in_a_row > 0)
                assert (contact is StoreContact.AWAY) == away
