"""The operators' interface: command language, admin server, state dump, decision journal."""
