"""What operators use: query and command language, state dump, journal of decisions."""
