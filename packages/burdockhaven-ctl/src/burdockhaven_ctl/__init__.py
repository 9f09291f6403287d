"""The burdockhaven command line for operators."""
