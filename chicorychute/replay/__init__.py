"""Record and replay of decisions on a virtual clock."""
