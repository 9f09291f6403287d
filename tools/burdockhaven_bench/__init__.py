"""Load driver and measurements over the real entry decisions."""
