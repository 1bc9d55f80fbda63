"""Chooses the gate for a request, within the floor and the budgets."""
