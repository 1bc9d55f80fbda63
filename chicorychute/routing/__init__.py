"""Choice of the gate for a request, under the floor and the budgets."""
