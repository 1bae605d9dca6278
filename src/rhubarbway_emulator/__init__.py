"""Emulator that runs the forwarding code of entry hosts over emulated servers in virtual time."""
